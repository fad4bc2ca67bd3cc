/** Client of the platform's append-only log. */
package org.cuminlatch.wire.log;
