/** Codecs and transport of the control messages. */
package org.cuminlatch.wire.control;
