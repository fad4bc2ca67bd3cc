/**
 * Observer that polls the operator pages of nodes and checks the invariants of the configuration.
 */
package org.cuminlatch.testkit.observe;
