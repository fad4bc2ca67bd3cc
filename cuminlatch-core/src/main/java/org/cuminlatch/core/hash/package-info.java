/** Hashes that every node computes alike, whatever its JVM. */
package org.cuminlatch.core.hash;
