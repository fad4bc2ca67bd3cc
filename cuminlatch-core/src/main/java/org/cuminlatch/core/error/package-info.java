/** The error type shared by all modules and the codes that it carries. */
package org.cuminlatch.core.error;
