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

/** Parses the JSON responses of the platform's log; a truncated response is an error. */
final class LogResponses {

  private static final ObjectMapper JSON = new ObjectMapper();

  private LogResponses() {}

  static long offset(byte[] response) {
    return number(parse(response, Step.LOG_APPEND), "offset", Step.LOG_APPEND);
  }

  static LogExtent extent(byte[] response) {
    JsonNode root = parse(response, Step.LOG_READ);
    return new LogExtent(
        number(root, "firstOffset", Step.LOG_READ), number(root, "nextOffset", Step.LOG_READ));
  }

  static LogBatch batch(byte[] response, long from) {
    JsonNode root = parse(response, Step.LOG_READ);
    LogExtent extent = extent(response);
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
        throw malformed(Step.LOG_READ, "a record has no field data", null);
      }
      return new LogRecord(number(node, "offset", Step.LOG_READ), Bytes.copyOf(content));
    } catch (IOException e) {
      throw malformed(Step.LOG_READ, "the data of a record is not base64", e);
    }
  }

  private static JsonNode parse(byte[] response, Step step) {
    try {
      return JSON.readTree(response);
    } catch (IOException e) {
      throw malformed(step, "the response is truncated or not JSON", e);
    }
  }

  private static long number(JsonNode node, String field, Step step) {
    JsonNode value = node.path(field);
    if (!value.canConvertToLong() || value.asLong() < 0) {
      throw malformed(step, "the response has no valid field " + field, null);
    }
    return value.asLong();
  }

  private static CuminlatchException malformed(Step step, String problem, Throwable cause) {
    return CuminlatchException.of(ErrorCode.LOG_UNAVAILABLE, step, "log", problem, cause);
  }
}
