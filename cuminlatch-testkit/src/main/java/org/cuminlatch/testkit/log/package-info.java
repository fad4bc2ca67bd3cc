/** Stand-in for the platform's append-only log, with fault injection. */
package org.cuminlatch.testkit.log;
