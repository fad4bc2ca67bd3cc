package org.cuminlatch.node.call;

import com.google.protobuf.ByteString;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Header;

/**
 * Writes the answer to a caller.
 *
 * <p>If an answer can't be completed, the handler must exit with an exception. Closing the exchange
 * would end the body regularly, and the caller would take the partial answer for a complete one.
 */
final class CallerAnswerWriter {

  private static final long NO_BODY_LENGTH = -1;
  private static final long CHUNKED_LENGTH = 0;
  private static final int MIN_STATUS_WITH_BODY = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final HttpExchange exchange;
  private final long configVersion;
  private final boolean closeConnection;
  private OutputStream body;
  private boolean started;

  CallerAnswerWriter(HttpExchange exchange, long configVersion, boolean closeConnection) {
    this.exchange = exchange;
    this.configVersion = configVersion;
    this.closeConnection = closeConnection;
  }

  boolean isStarted() {
    return started;
  }

  void start(Answer answer, Member target) throws IOException {
    started = true;
    Headers headers = exchange.getResponseHeaders();
    for (Header header : answer.getHeadersList()) {
      headers.add(header.getName(), header.getValue());
    }
    addNodeHeaders(headers, AttemptOutcome.ANSWERED);
    headers.set(CallHeaders.INSTANCE, target.instance());
    headers.set(CallHeaders.TARGET_VERSION, target.targetVersion());
    boolean head = exchange.getRequestMethod().equals("HEAD");
    if (head && answer.getContentLength() >= 0) {
      headers.set(CallHeaders.CONTENT_LENGTH, Long.toString(answer.getContentLength()));
    }
    long length = head ? NO_BODY_LENGTH : length(answer);
    exchange.sendResponseHeaders(answer.getStatus(), length);
    body = length == NO_BODY_LENGTH ? OutputStream.nullOutputStream() : exchange.getResponseBody();
  }

  private static long length(Answer answer) {
    int status = answer.getStatus();
    if (status < MIN_STATUS_WITH_BODY || status == NO_CONTENT || status == NOT_MODIFIED) {
      return NO_BODY_LENGTH;
    }
    if (answer.getContentLength() < 0) {
      return CHUNKED_LENGTH;
    }
    return answer.getContentLength() == 0 ? NO_BODY_LENGTH : answer.getContentLength();
  }

  void write(ByteString content, boolean flush) throws IOException {
    if (!content.isEmpty()) {
      content.writeTo(body);
    }
    if (flush) {
      body.flush();
    }
  }

  void end() throws IOException {
    body.close();
    exchange.close();
  }

  void writeResult(CallResult result) throws IOException {
    started = true;
    Headers headers = exchange.getResponseHeaders();
    addNodeHeaders(headers, result.outcome());
    headers.set(CallHeaders.REASON, result.reason());
    headers.set("Content-type", "text/plain; charset=utf-8");
    byte[] text = (result.bodyText() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(result.status(), text.length);
    if (!exchange.getRequestMethod().equals("HEAD")) {
      exchange.getResponseBody().write(text);
    }
    exchange.close();
  }

  private void addNodeHeaders(Headers headers, AttemptOutcome outcome) {
    headers.set(CallHeaders.OUTCOME, CallResult.outcomeName(outcome));
    headers.set(CallHeaders.CONFIG_VERSION, Long.toString(configVersion));
    if (closeConnection) {
      headers.set("Connection", "close");
    }
  }
}
