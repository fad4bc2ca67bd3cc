/** Moves of traffic between target versions: evidence, its evaluation and steps. */
package org.cuminlatch.core.move;
