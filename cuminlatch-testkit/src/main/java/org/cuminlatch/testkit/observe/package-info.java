/** Observer that polls the operator pages of nodes and checks what must hold across them. */
package org.cuminlatch.testkit.observe;
