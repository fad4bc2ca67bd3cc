/** Gossip-based membership of the mesh: members, their facts and failure detection. */
package org.cuminlatch.core.membership;
