/** Measurements and simulations of the call path. */
package org.cuminlatch.bench.call;
