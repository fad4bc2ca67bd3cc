/** A small HTTP/1.1 server and client, based on Netty's codec. */
package org.cuminlatch.node.http;
