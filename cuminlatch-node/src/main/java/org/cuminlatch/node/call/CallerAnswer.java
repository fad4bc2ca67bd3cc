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
 * Answer to a caller as it is written.
 *
 * <p>An answer that can't be finished must be left by an exception: closing it would end it in good
 * order, and the caller would take a part for the whole.
 */
final class CallerAnswer {

  private static final long NO_BODY = -1;
  private static final long CHUNKED = 0;
  private static final int FIRST_STATUS_WITH_BODY = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final HttpExchange exchange;
  private final long configVersion;
  private final boolean lastOnConnection;
  private OutputStream body;
  private boolean begun;

  CallerAnswer(HttpExchange exchange, long configVersion, boolean lastOnConnection) {
    this.exchange = exchange;
    this.configVersion = configVersion;
    this.lastOnConnection = lastOnConnection;
  }

  boolean isBegun() {
    return begun;
  }

  void begin(Answer answer, Member target) throws IOException {
    begun = true;
    Headers headers = exchange.getResponseHeaders();
    for (Header header : answer.getHeadersList()) {
      headers.add(header.getName(), header.getValue());
    }
    addOwn(headers, AttemptOutcome.ANSWERED);
    headers.set(CallHeaders.INSTANCE, target.instance());
    headers.set(CallHeaders.TARGET_VERSION, target.targetVersion());
    boolean head = exchange.getRequestMethod().equals("HEAD");
    if (head && answer.getContentLength() >= 0) {
      headers.set(CallHeaders.CONTENT_LENGTH, Long.toString(answer.getContentLength()));
    }
    long length = head ? NO_BODY : length(answer);
    exchange.sendResponseHeaders(answer.getStatus(), length);
    body = length == NO_BODY ? OutputStream.nullOutputStream() : exchange.getResponseBody();
  }

  private static long length(Answer answer) {
    int status = answer.getStatus();
    if (status < FIRST_STATUS_WITH_BODY || status == NO_CONTENT || status == NOT_MODIFIED) {
      return NO_BODY;
    }
    if (answer.getContentLength() < 0) {
      return CHUNKED;
    }
    return answer.getContentLength() == 0 ? NO_BODY : answer.getContentLength();
  }

  void write(ByteString content, boolean more) throws IOException {
    if (!content.isEmpty()) {
      content.writeTo(body);
    }
    if (more) {
      body.flush();
    }
  }

  void end() throws IOException {
    body.close();
    exchange.close();
  }

  void refuse(Conclusion conclusion) throws IOException {
    begun = true;
    Headers headers = exchange.getResponseHeaders();
    addOwn(headers, conclusion.outcome());
    headers.set(CallHeaders.REASON, conclusion.reason());
    headers.set("Content-type", "text/plain; charset=utf-8");
    byte[] text = (conclusion.text() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(conclusion.status(), text.length);
    if (!exchange.getRequestMethod().equals("HEAD")) {
      exchange.getResponseBody().write(text);
    }
    exchange.close();
  }

  private void addOwn(Headers headers, AttemptOutcome outcome) {
    headers.set(CallHeaders.OUTCOME, Conclusion.word(outcome));
    headers.set(CallHeaders.CONFIG_VERSION, Long.toString(configVersion));
    if (lastOnConnection) {
      headers.set("Connection", "close");
    }
  }
}
