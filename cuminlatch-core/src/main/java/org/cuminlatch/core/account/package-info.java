/** Client accounts: who sends a call, and what the account may use. */
package org.cuminlatch.core.account;
