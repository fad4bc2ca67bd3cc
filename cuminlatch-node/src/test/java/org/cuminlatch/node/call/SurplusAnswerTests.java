package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Bytes that a target sends beside its answers")
class SurplusAnswerTests {

  private static final int WAIT_SECONDS = 20;
  private static final String OWN_ANSWER = "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\ntwo";

  private ServerSocket listener;
  private TargetClient client;
  private Socket target;

  @BeforeEach
  void start() throws IOException {
    JdkHttpProperties.configure();
    listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    client = new TargetClient(URI.create("http://127.0.0.1:" + listener.getLocalPort()));
  }

  @AfterEach
  void stop() throws IOException {
    target.close();
    listener.close();
  }

  /** Sends an attempt and returns how it ends: status and body, or in short what happened. */
  private CompletableFuture<String> send(int number) {
    Begin begin =
        Begin.newBuilder()
            .setMethod("GET")
            .setPath("/" + number)
            .setBodyComplete(true)
            .setDeadlineMicros(TimeUnit.SECONDS.toMicros(WAIT_SECONDS))
            .build();
    AttemptId id = new AttemptId(1, number);
    RunningAttempt attempt = new RunningAttempt(id, begin, new UnusedChannel(), Instant.now());
    String token = new AttemptToken(id, attempt.treePosition()).format();
    CompletableFuture<String> end = new CompletableFuture<>();
    TargetAnswerSubscriber answer = new TargetAnswerSubscriber(token, 1024, new EndListener(end));
    client
        .run(attempt, answer, Duration.ofSeconds(WAIT_SECONDS))
        .whenComplete((response, error) -> end.complete("failed"));
    return end;
  }

  /** Reads a request and returns its token. */
  private String readRequest() throws IOException {
    InputStream in = target.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed");
      }
      head.append((char) next);
    }
    String name = CallHeaders.ATTEMPT + ": ";
    int from = head.toString().toLowerCase(Locale.ROOT).indexOf(name) + name.length();
    return head.substring(from, head.indexOf("\r\n", from));
  }

  private void write(String bytes) throws IOException {
    target.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Answers a first attempt, with bytes behind the answer; returns its token. */
  private String answerFirst(String behind) throws Exception {
    CompletableFuture<String> first = send(1);
    target = listener.accept();
    String token = readRequest();
    write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none" + behind);
    assertThat(result(first), is("200 one"));
    return token;
  }

  private static String result(CompletableFuture<String> end)
      throws InterruptedException, ExecutionException, TimeoutException {
    return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Nested
  class BehindAnAnswer {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nother",
          "HTTP/1.1 200 O",
          "other"
        })
    void belongToNoLaterAttempt(String surplus) throws Exception {
      answerFirst(surplus);

      CompletableFuture<String> second = send(2);
      readRequestOnAnyConnection();
      write(OWN_ANSWER);

      assertThat(result(second), is("500 two"));
    }

    private void readRequestOnAnyConnection() throws IOException {
      try {
        readRequest();
      } catch (IOException closed) {
        target = listener.accept();
        readRequest();
      }
    }
  }

  @Nested
  class BeforeAnAnswer {

    private String resultBehind(String surplus) throws Exception {
      CompletableFuture<String> second = send(2);
      readRequest();
      write(surplus + OWN_ANSWER);
      return result(second);
    }

    @Test
    void areNoAnswerIfTheyNameAnotherAttempt() throws Exception {
      String token = answerFirst("");

      String surplus =
          "HTTP/1.1 200 OK\r\nX-Cuminlatch-Attempt: "
              + token
              + "\r\nContent-Length: 5\r\n\r\nother";

      assertThat(resultBehind(surplus), is("crossed"));
    }

    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 O",
          "HTTP/1.1 200 OK\r\nOther: x",
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
        })
    void areNoSuccess(String surplus) throws Exception {
      answerFirst("");

      assertThat(resultBehind(surplus).startsWith("200"), is(false));
    }
  }

  /** Records the end of an answer that is passed in one piece. */
  private record EndListener(CompletableFuture<String> end)
      implements TargetAnswerSubscriber.Listener {

    @Override
    public void onHead(ResponseInfo head, long length, byte[] first, boolean last) {
      end.complete(head.statusCode() + " " + new String(first, StandardCharsets.UTF_8));
    }

    @Override
    public void onPart(byte[] content) {}

    @Override
    public void onEnd() {}

    @Override
    public void onShed() {
      end.complete("shed");
    }

    @Override
    public void onInvalidStatus(int status) {
      end.complete("invalid status " + status);
    }

    @Override
    public void onCrossed() {
      end.complete("crossed");
    }

    @Override
    public void onProgress() {}
  }

  /** Stands for the connection to the entry node. */
  private static final class UnusedChannel implements CallChannel {

    @Override
    public void send(CallFrame frame) {}

    @Override
    public void close() {}

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public String peer() {
      return "entry";
    }
  }
}
