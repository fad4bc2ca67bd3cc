/** The table that {@code bin/demo} prints: promises observed, checks and violations. */
package org.cuminlatch.bench.demo;
