/** Small stand-ins for the platform's log and for targets, each also a program. */
package org.cuminlatch.testkit;
