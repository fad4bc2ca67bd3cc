/** Measurements of replaying the configuration log into state (the fold). */
package org.cuminlatch.bench.config;
