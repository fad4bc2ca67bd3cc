/** Routing and load balancing: choice of the route, target version and target of a request. */
package org.cuminlatch.core.route;
