/** Stand-in for the platform's append-only log, with faults on request. */
package org.cuminlatch.testkit.log;
