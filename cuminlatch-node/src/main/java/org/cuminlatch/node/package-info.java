/** The daemon that runs beside each target instance. */
package org.cuminlatch.node;
