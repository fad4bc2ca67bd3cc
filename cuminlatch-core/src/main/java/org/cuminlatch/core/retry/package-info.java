/** Outcomes of attempts, retries with their budget and backoff, and idempotency keys. */
package org.cuminlatch.core.retry;
