/** Choice of the route, the target version and the target for a request. */
package org.cuminlatch.core.route;
