/**
 * Client accounts: who sends a call, what the account may use, and whether its keys are known to be
 * valid.
 */
package org.cuminlatch.core.account;
