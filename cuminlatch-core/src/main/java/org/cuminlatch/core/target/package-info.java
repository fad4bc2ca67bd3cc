/** What a node believes of the target beside it, from the target's own reports. */
package org.cuminlatch.core.target;
