/** Reading and writing of a store that may come back from an older copy of its data. */
package org.cuminlatch.core.store;
