/** Stand-in for a target instance: slots, cold start, drain, shedding and faults on request. */
package org.cuminlatch.testkit.target;
