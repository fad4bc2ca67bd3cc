/** Outcomes of attempts and the rules by which a request may be tried again. */
package org.cuminlatch.core.retry;
