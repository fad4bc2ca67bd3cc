/** Codecs of configuration records and checkpoints. */
package org.cuminlatch.wire.config;
