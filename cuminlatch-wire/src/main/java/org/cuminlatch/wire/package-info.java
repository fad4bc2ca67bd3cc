/** Messages exchanged between the processes of cuminlatch, with their codecs and transports. */
package org.cuminlatch.wire;
