/** Measurements of the fold over the configuration log. */
package org.cuminlatch.bench.config;
