/** Loads, experiments and measurements. */
package org.cuminlatch.bench;
