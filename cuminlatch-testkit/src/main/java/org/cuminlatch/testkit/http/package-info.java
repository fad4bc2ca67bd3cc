/** What the stand-ins share to speak HTTP. */
package org.cuminlatch.testkit.http;
