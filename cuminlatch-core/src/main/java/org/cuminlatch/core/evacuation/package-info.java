/** Availability zones that operators take out of service and return to it. */
package org.cuminlatch.core.evacuation;
