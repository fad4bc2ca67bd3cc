/**
 * Test kit: stand-ins for the platform's log and for targets, a load generator, fault-injecting
 * relays and an observer. Most of them can also be run as a program.
 */
package org.cuminlatch.testkit;
