/** Admission of requests into a target's slots. */
package org.cuminlatch.core.admission;
