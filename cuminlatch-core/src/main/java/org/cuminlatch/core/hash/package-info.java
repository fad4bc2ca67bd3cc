/** Hash functions that return the same values on every node and JVM. */
package org.cuminlatch.core.hash;
