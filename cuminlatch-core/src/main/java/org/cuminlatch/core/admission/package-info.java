/** Admission control: decides which requests get a slot of a target, and in which order. */
package org.cuminlatch.core.admission;
