package org.cuminlatch.wire.config;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import java.time.DateTimeException;
import java.util.List;
import java.util.function.Supplier;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/**
 * Parsing by frozen rules: a message with a field that its schema version does not have is
 * malformed, so that no release reads half of it.
 */
final class StrictParsing {

  private StrictParsing() {}

  static <M extends Message> M parse(Parser<M> parser, byte[] content) {
    M message;
    try {
      message = parser.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("does not parse: " + e.getMessage(), e);
    }
    require(hasOnlyKnownFields(message), "has fields that its schema version does not know");
    return message;
  }

  static void require(boolean holds, String problem) {
    if (!holds) {
      throw new IllegalArgumentException(problem);
    }
  }

  static <T> T invalidRecordUnless(String what, Supplier<T> parsing) {
    return failingWith(ErrorCode.INVALID_RECORD, Step.CODEC, what, parsing);
  }

  static <T> T invalidCheckpointUnless(Supplier<T> parsing) {
    return failingWith(ErrorCode.INVALID_CHECKPOINT, Step.CHECKPOINT, "checkpoint", parsing);
  }

  private static <T> T failingWith(ErrorCode code, Step step, String what, Supplier<T> parsing) {
    try {
      return parsing.get();
    } catch (IllegalArgumentException | ArithmeticException | DateTimeException e) {
      throw CuminlatchException.of(code, step, "-", what + ": " + e.getMessage(), e);
    }
  }

  private static boolean hasOnlyKnownFields(Message message) {
    return message.getUnknownFields().asMap().isEmpty()
        && message.getAllFields().values().stream().allMatch(StrictParsing::isKnown);
  }

  private static boolean isKnown(Object value) {
    if (value instanceof Message nested) {
      return hasOnlyKnownFields(nested);
    }
    return !(value instanceof List<?> values) || values.stream().allMatch(StrictParsing::isKnown);
  }
}
