/** Exception type and error codes shared by all modules. */
package org.cuminlatch.core.error;
