package org.cuminlatch.testkit.log;

import static org.cuminlatch.testkit.HttpCalls.get;
import static org.cuminlatch.testkit.HttpCalls.getAsync;
import static org.cuminlatch.testkit.HttpCalls.post;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Stand-in for the platform's log")
class PlatformLogTests {

  private static final String RECORDS = "/streams/configuration/records";

  private PlatformLog log;

  @BeforeEach
  void startLog() {
    log = PlatformLog.start(new PlatformLogOptions(0, 3, 100));
  }

  @AfterEach
  void closeLog() {
    log.close();
  }

  private HttpResponse<String> append(String content) throws IOException, InterruptedException {
    return post(log.port(), RECORDS, content);
  }

  private HttpResponse<String> read(long from) throws IOException, InterruptedException {
    return get(log.port(), RECORDS + "?from=" + from);
  }

  @Test
  void assignsConsecutiveOffsetsPerStream() throws Exception {
    assertThat(append("a").body(), is("{\"offset\":0}"));
    assertThat(append("b").body(), is("{\"offset\":1}"));
    assertThat(post(log.port(), "/streams/other/records", "c").body(), is("{\"offset\":0}"));
  }

  @Test
  void returnsRecordsInOrderFromRequestedOffset() throws Exception {
    append("a");
    append("b");
    append("c");
    assertThat(
        read(1).body(),
        is(
            "{\"firstOffset\":0,\"nextOffset\":3,\"records\":"
                + "[{\"offset\":1,\"data\":\"Yg==\"},{\"offset\":2,\"data\":\"Yw==\"}]}"));
  }

  @Test
  void answersGoneIfRecordsAreNoLongerRetained() throws Exception {
    for (String content : new String[] {"a", "b", "c", "d", "e"}) {
      append(content);
    }
    HttpResponse<String> answer = read(1);
    assertThat(answer.statusCode(), is(410));
    assertThat(answer.body(), is("{\"firstOffset\":2,\"nextOffset\":5}"));
  }

  @Test
  void wakesAllWaitingReadersOnAppend() throws Exception {
    CompletableFuture<?>[] readers = new CompletableFuture<?>[50];
    for (int i = 0; i < readers.length; i++) {
      readers[i] =
          getAsync(log.port(), RECORDS + "?from=0&waitMillis=60000")
              .thenAccept(answer -> assertThat(answer.body(), containsString("\"YQ==\"")));
    }
    append("a");
    CompletableFuture.allOf(readers).get();
  }

  @Test
  void answersWaitingReaderWithoutRecordsAfterItsTimeout() throws Exception {
    assertThat(
        get(log.port(), RECORDS + "?from=0&waitMillis=20").body(),
        is("{\"firstOffset\":0,\"nextOffset\":0,\"records\":[]}"));
  }

  @Test
  void refusesAppendsAboveConfiguredRate() throws Exception {
    int refused = 0;
    for (int i = 0; i < 2_000 && refused == 0; i++) {
      refused += append("a").statusCode() == 429 ? 1 : 0;
    }
    assertThat(refused, is(1));
  }

  @Nested
  class WithInjectedFaults {

    @Test
    void refusesAllRequestsDuringOutage() throws Exception {
      log.startOutage(Duration.ofMinutes(1));
      assertThat(append("a").statusCode(), is(503));
      assertThat(read(0).statusCode(), is(503));
      log.startOutage(Duration.ZERO);
      assertThat(append("a").body(), is("{\"offset\":0}"));
    }

    @Test
    void answersWaitingReadersWhenOutageStarts() throws Exception {
      var reader = getAsync(log.port(), RECORDS + "?from=0&waitMillis=60000");
      while (!reader.isDone()) {
        log.startOutage(Duration.ofMinutes(1));
      }
      assertThat(reader.get().statusCode(), is(503));
    }

    @Test
    void appendsRecordWhoseAnswerIsLost() throws Exception {
      log.loseAnswers(1);
      assertThrows(IOException.class, () -> append("a"));
      assertThat(append("b").body(), is("{\"offset\":1}"));
      assertThat(log.counts().get("configuration").appends(), is(2L));
    }

    @Test
    void acceptsFaultsByAdminRequest() throws Exception {
      assertThat(post(log.port(), "/admin/outage?millis=60000", "").statusCode(), is(200));
      assertThat(append("a").statusCode(), is(503));
      assertThat(post(log.port(), "/admin/nonsense", "").statusCode(), is(400));
    }
  }
}
