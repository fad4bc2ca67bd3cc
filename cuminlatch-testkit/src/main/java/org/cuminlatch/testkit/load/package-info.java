/** Load of callers that check every answer and audit what ran. */
package org.cuminlatch.testkit.load;
