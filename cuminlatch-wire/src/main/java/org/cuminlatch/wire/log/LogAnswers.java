package org.cuminlatch.wire.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.log.LogClient.LogBatch;
import org.cuminlatch.wire.log.LogClient.LogExtent;

/** Reads the JSON answers of the platform's log; an answer that is cut short is a failure. */
final class LogAnswers {

  private static final ObjectMapper JSON = new ObjectMapper();

  private LogAnswers() {}

  static long offset(byte[] answer) {
    return number(parse(answer, Step.LOG_APPEND), "offset", Step.LOG_APPEND);
  }

  static LogExtent extent(byte[] answer) {
    JsonNode root = parse(answer, Step.LOG_READ);
    return new LogExtent(
        number(root, "firstOffset", Step.LOG_READ), number(root, "nextOffset", Step.LOG_READ));
  }

  static LogBatch batch(byte[] answer, long from) {
    JsonNode root = parse(answer, Step.LOG_READ);
    LogExtent extent = extent(answer);
    List<LogRecord> records = new ArrayList<>();
    for (JsonNode node : root.path("records")) {
      LogRecord record = record(node);
      if (record.offset() >= from) {
        records.add(record);
      }
    }
    return new LogBatch(extent.firstOffset(), extent.nextOffset(), records);
  }

  private static LogRecord record(JsonNode node) {
    try {
      byte[] content = node.path("data").binaryValue();
      if (content == null) {
        throw malformed(Step.LOG_READ, "a record has no data", null);
      }
      return new LogRecord(number(node, "offset", Step.LOG_READ), Bytes.copyOf(content));
    } catch (IOException e) {
      throw malformed(Step.LOG_READ, "the data of a record is not base64", e);
    }
  }

  private static JsonNode parse(byte[] answer, Step step) {
    try {
      return JSON.readTree(answer);
    } catch (IOException e) {
      throw malformed(step, "the answer is cut short or not JSON", e);
    }
  }

  private static long number(JsonNode node, String field, Step step) {
    JsonNode value = node.path(field);
    if (!value.canConvertToLong() || value.asLong() < 0) {
      throw malformed(step, "the answer has no " + field, null);
    }
    return value.asLong();
  }

  private static CuminlatchException malformed(Step step, String problem, Throwable cause) {
    return CuminlatchException.of(ErrorCode.LOG_UNAVAILABLE, step, "log", problem, cause);
  }
}
