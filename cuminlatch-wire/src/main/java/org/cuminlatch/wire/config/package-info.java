/** Codecs of records and checkpoints. */
package org.cuminlatch.wire.config;
