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
 * Parses messages by the frozen rules of their schema version.
 *
 * <p>A message with a field that its schema version does not define is malformed, so that no
 * release reads only part of it.
 */
final class StrictParser {

  private StrictParser() {}

  static <M extends Message> M parse(Parser<M> parser, byte[] content) {
    M message;
    try {
      message = parser.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("cannot be parsed: " + e.getMessage(), e);
    }
    require(hasOnlyKnownFields(message), "has fields that its schema version does not define");
    return message;
  }

  static void require(boolean condition, String problem) {
    if (!condition) {
      throw new IllegalArgumentException(problem);
    }
  }

  static <T> T translateRecordErrors(String subject, Supplier<T> parsing) {
    return translateErrors(ErrorCode.INVALID_RECORD, Step.CODEC, subject, parsing);
  }

  static <T> T translateCheckpointErrors(Supplier<T> parsing) {
    return translateErrors(ErrorCode.INVALID_CHECKPOINT, Step.CHECKPOINT, "checkpoint", parsing);
  }

  private static <T> T translateErrors(
      ErrorCode code, Step step, String subject, Supplier<T> parsing) {
    try {
      return parsing.get();
    } catch (IllegalArgumentException | ArithmeticException | DateTimeException e) {
      throw CuminlatchException.of(code, step, "-", subject + ": " + e.getMessage(), e);
    }
  }

  private static boolean hasOnlyKnownFields(Message message) {
    return message.getUnknownFields().asMap().isEmpty()
        && message.getAllFields().values().stream().allMatch(StrictParser::isKnown);
  }

  private static boolean isKnown(Object value) {
    if (value instanceof Message nested) {
      return hasOnlyKnownFields(nested);
    }
    return !(value instanceof List<?> values) || values.stream().allMatch(StrictParser::isKnown);
  }
}
