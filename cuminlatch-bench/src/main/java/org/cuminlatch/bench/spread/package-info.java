/** Membership and spread of configuration on an in-memory network in virtual time. */
package org.cuminlatch.bench.spread;
