package org.cuminlatch.testkit.target;

import static org.cuminlatch.testkit.HttpCalls.get;
import static org.cuminlatch.testkit.HttpCalls.getAsync;
import static org.cuminlatch.testkit.HttpCalls.post;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminlatch.testkit.http.Query;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Stand-in for a target")
class TargetTests {

  private static final int SLOTS = 2;
  private static final String NOT_RUN_HEADER = "x-cuminlatch-not-run";

  private Target target;

  @BeforeEach
  void startTarget() {
    target = Target.start(new TargetOptions(0, SLOTS, Duration.ofMillis(1), Duration.ZERO, "v7"));
  }

  @AfterEach
  void closeTarget() {
    target.close();
  }

  private void setBehaviour(String query) {
    target.setBehaviour(Behaviour.of(Query.parse(query)));
  }

  private void awaitStarted(long count) {
    while (target.executions().started() < count) {
      Thread.onSpinWait();
    }
  }

  @Test
  void answersWithIdAndBodyOfRequest() throws Exception {
    HttpResponse<String> answer = post(target.port(), "/quotes", "tank", "x-request-id", "r1");
    assertThat(answer.body(), is("r1\ntank"));
    assertThat(answer.headers().firstValue("x-target-version").orElse(""), is("v7"));
    assertThat(target.executions().byRequest().get("r1"), is(1));
  }

  @Test
  void answersWithRequestedLength() throws Exception {
    assertThat(get(target.port(), "/drawings/bytes/5", "x-request-id", "ab").body(), is("ab\nab"));
  }

  @Test
  void refusesRequestsBeyondSlotsWithoutExecutingThem() throws Exception {
    setBehaviour("silent=true");
    getAsync(target.port(), "/");
    getAsync(target.port(), "/");
    awaitStarted(SLOTS);
    HttpResponse<String> answer = get(target.port(), "/", "x-request-id", "r3");
    assertThat(answer.statusCode(), is(503));
    assertThat(answer.headers().firstValue(NOT_RUN_HEADER).orElse(""), is("true"));
    assertThat(target.executions().byRequest().containsKey("r3"), is(false));
  }

  @Test
  void endsExecutionAtDeadline() throws Exception {
    setBehaviour("slowMillis=60000");
    assertThat(get(target.port(), "/", "x-cuminlatch-deadline-millis", "20").statusCode(), is(504));
    assertThat(target.executions().late(), is(1L));
  }

  @Test
  void releasesSlotWhenCallerClosesConnection() throws Exception {
    setBehaviour("silent=true");
    try (Socket caller = new Socket("127.0.0.1", target.port())) {
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nhost: t\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      awaitStarted(1);
    }
    while (target.executions().cancelled() < 1) {
      Thread.onSpinWait();
    }
    assertThat(get(target.port(), "/load").body().contains("\"busy\":0"), is(true));
  }

  @Nested
  class WhenDraining {

    @Test
    void refusesNewRequestsAndCompletesRunningOnes() throws Exception {
      setBehaviour("slowMillis=100");
      final var running = getAsync(target.port(), "/", "x-request-id", "r1");
      awaitStarted(1);
      target.drain();
      assertThat(get(target.port(), "/").statusCode(), is(503));
      assertThat(get(target.port(), "/health").body(), is("{\"state\":\"draining\"}"));
      assertThat(running.get().body(), is("r1\n"));
      assertThat(target.executions().arrivedAfterDrain(), is(1L));
    }
  }

  @Nested
  class WithInjectedFaults {

    @Test
    void failsOnlyOnConfiguredPath() throws Exception {
      setBehaviour("failPath=/bad");
      assertThat(get(target.port(), "/bad/x").statusCode(), is(500));
      assertThat(get(target.port(), "/good").statusCode(), is(200));
    }

    @Test
    void failsAfterConfiguredNumberOfCalls() throws Exception {
      setBehaviour("failAfterCalls=1");
      assertThat(get(target.port(), "/").statusCode(), is(200));
      assertThat(get(target.port(), "/").statusCode(), is(500));
    }

    @Test
    void executesRequestWhoseConnectionIsClosed() {
      setBehaviour("cutShare=1");
      assertThrows(IOException.class, () -> post(target.port(), "/", "b", "x-request-id", "r1"));
      assertThat(target.executions().byRequest().get("r1"), is(1));
    }

    @Test
    void reportsConfiguredStateInsteadOfActualState() throws Exception {
      setBehaviour("lieHealth=serving&lieBusy=0");
      target.drain();
      assertThat(get(target.port(), "/health").body(), is("{\"state\":\"serving\"}"));
    }

    @Test
    void acceptsBehaviourByAdminRequest() throws Exception {
      assertThat(post(target.port(), "/admin/behaviour?failShare=1", "").statusCode(), is(200));
      assertThat(get(target.port(), "/").statusCode(), is(500));
      assertThat(post(target.port(), "/admin/behaviour?failShare=2", "").statusCode(), is(400));
    }
  }
}
