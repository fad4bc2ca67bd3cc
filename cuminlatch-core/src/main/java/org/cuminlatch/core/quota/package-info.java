/** Limits on the requests of client accounts that hold for all nodes together. */
package org.cuminlatch.core.quota;
