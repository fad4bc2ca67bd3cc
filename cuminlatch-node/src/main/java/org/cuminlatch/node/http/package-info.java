/** HTTP towards callers, targets and the platform, on Netty's codec. */
package org.cuminlatch.node.http;
