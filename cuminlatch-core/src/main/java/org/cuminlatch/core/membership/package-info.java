/** Membership of the mesh by gossip: members, their facts and the detection of failures. */
package org.cuminlatch.core.membership;
