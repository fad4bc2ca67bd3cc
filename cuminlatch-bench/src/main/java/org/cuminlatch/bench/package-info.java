/** Experiments: simulations and measurements of the mesh, and the program that runs them. */
package org.cuminlatch.bench;
