/** Load generator that checks every answer and audits which requests the targets executed. */
package org.cuminlatch.testkit.load;
