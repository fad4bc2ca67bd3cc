/** The daemon that runs alongside each target instance. */
package org.cuminlatch.node;
