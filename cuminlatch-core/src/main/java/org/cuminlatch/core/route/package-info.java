/** Routing and load balancing: chooses the route, the target version and the target of a request. */
package org.cuminlatch.core.route;
