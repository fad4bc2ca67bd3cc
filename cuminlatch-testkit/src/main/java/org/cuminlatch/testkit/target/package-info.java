/**
 * Stand-in for a target instance with slots, cold start, drain, load shedding and fault injection.
 */
package org.cuminlatch.testkit.target;
