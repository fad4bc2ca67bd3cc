/** Moves of traffic between target versions: evidence, judgement and steps. */
package org.cuminlatch.core.move;
