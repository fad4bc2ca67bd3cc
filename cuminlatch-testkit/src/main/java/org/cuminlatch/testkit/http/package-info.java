/** HTTP helpers that the stand-ins share. */
package org.cuminlatch.testkit.http;
