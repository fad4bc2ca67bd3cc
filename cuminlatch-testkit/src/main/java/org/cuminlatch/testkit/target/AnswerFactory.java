package org.cuminlatch.testkit.target;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;

/** Creates the HTTP answers of a target. */
final class AnswerFactory {

  static final String REQUEST_ID_HEADER = "x-request-id";
  static final String NOT_RUN_HEADER = "x-cuminlatch-not-run";
  static final String TARGET_VERSION_HEADER = "x-target-version";

  private static final ObjectMapper JSON = new ObjectMapper();

  private AnswerFactory() {}

  static FullHttpResponse json(Object value) {
    try {
      FullHttpResponse answer = of(HttpResponseStatus.OK, JSON.writeValueAsBytes(value));
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      return answer;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static FullHttpResponse notRun() {
    FullHttpResponse answer = of(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
    answer.headers().set(NOT_RUN_HEADER, "true");
    return answer;
  }

  static FullHttpResponse error(HttpResponseStatus status, String text) {
    return of(status, text.getBytes(UTF_8));
  }

  /** Returns an answer with the request's ID on the first line and the request's body after it. */
  static FullHttpResponse echo(String requestId, byte[] body) {
    byte[] idLine = (requestId + "\n").getBytes(UTF_8);
    byte[] content = Arrays.copyOf(idLine, idLine.length + body.length);
    System.arraycopy(body, 0, content, idLine.length, body.length);
    return of(HttpResponseStatus.OK, content);
  }

  /** Returns an answer of the given length that repeats the request's ID. */
  static FullHttpResponse repeated(String requestId, int length) {
    byte[] pattern = (requestId + "\n").getBytes(UTF_8);
    byte[] content = new byte[length];
    for (int i = 0; i < length; i++) {
      content[i] = pattern[i % pattern.length];
    }
    return of(HttpResponseStatus.OK, content);
  }

  private static FullHttpResponse of(HttpResponseStatus status, byte[] content) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content));
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    return answer;
  }
}
