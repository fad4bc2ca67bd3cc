/** The table that {@code bin/demo} prints: guarantees, checks and violations. */
package org.cuminlatch.bench.demo;
