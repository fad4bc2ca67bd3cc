/** Reconstruction of what happened to one request from the event logs of the nodes. */
package org.cuminlatch.cli.request;
