package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A body that is received in parts")
class StreamedBodyTests {

  private final List<String> delivered = new ArrayList<>();
  private StreamedBody body;

  @BeforeEach
  void create() {
    body = new StreamedBody(bytes("abcd"));
    body.setReceiver(
        new BodyReceiver() {
          @Override
          public void onPart(byte[] content, boolean last) {
            delivered.add(
                new String(content, StandardCharsets.ISO_8859_1) + (last ? " (last)" : ""));
          }

          @Override
          public void onAborted() {
            delivered.add("aborted");
          }
        });
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private void grant(int credit) {
    body.grantCredit(credit);
    body.deliver();
  }

  @Nested
  class WhileItIsReceived {

    @Test
    void isNotDeliveredWithoutCredit() {
      body.deliver();

      assertThat(delivered, is(empty()));
    }

    @Test
    void isDeliveredAsFarAsItsCredit() {
      grant(3);
      grant(3);
      body.add(bytes("efgh"));
      body.deliver();

      assertThat(delivered, contains("abc", "d", "ef"));
    }

    @Test
    void joinsSmallParts() {
      body.add(bytes("ef"));
      body.add(bytes("gh"));
      grant(7);

      assertThat(delivered, contains("abcdefg"));
    }

    @Test
    void isReadOnUntilTheBoundOfUndeliveredBytes() {
      body.add(new byte[HttpServer.STREAMED_BODY_BYTES]);
      assertThat(body.acceptsMore(), is(true));

      body.add(new byte[128 * 1024]);
      assertThat(body.acceptsMore(), is(false));

      grant(64 * 1024);
      assertThat(body.acceptsMore(), is(true));
    }
  }

  @Nested
  class AtItsEnd {

    @Test
    void marksTheLastPart() {
      body.end();
      grant(3);
      grant(3);

      assertThat(delivered, contains("abc", "d (last)"));
    }

    @Test
    void deliversAnEmptyLastPartIfAllWasDeliveredBefore() {
      grant(4);
      body.end();
      body.deliver();

      assertThat(delivered, contains("abcd", " (last)"));
    }

    @Test
    void deliversNothingAfterAnAbort() {
      grant(2);
      body.abort();
      body.end();
      grant(10);

      assertThat(delivered, contains("ab", "aborted"));
    }

    @Test
    void isNotAbortedAfterItsLastPart() {
      body.end();
      grant(4);
      body.abort();

      assertThat(delivered, contains("abcd (last)"));
    }
  }

  @Nested
  class ThatNobodyNeeds {

    @Test
    void isReadAndDropped() {
      body.discard();
      body.add(new byte[1 << 20]);
      grant(10);

      assertThat(body.acceptsMore(), is(true));
      assertThat(body.receivedBytes(), is((1L << 20) + 4));
      assertThat(delivered, is(empty()));
    }
  }
}
