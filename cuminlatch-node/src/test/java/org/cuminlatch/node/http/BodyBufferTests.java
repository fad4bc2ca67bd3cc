package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The received part of a body")
class BodyBufferTests {

  private static final int BODY_BYTES = 300_000;

  private final BodyBudget budget = new BodyBudget(1 << 20, 1 << 18, 0);
  private final byte[] body = new byte[BODY_BYTES];

  private void appendAll(BodyBuffer buffer, int partBytes) {
    new Random(5).nextBytes(body);
    for (int start = 0; start < body.length; start += partBytes) {
      int bytes = Math.min(partBytes, body.length - start);
      assertThat(buffer.tryAppend(Unpooled.wrappedBuffer(body, start, bytes)), is(true));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 1024, 8192, 65_536, 65_537, BODY_BYTES})
  void isCompleteWhateverTheSizeOfItsParts(int partBytes) {
    BodyBuffer buffer = new BodyBuffer(budget, -1);
    appendAll(buffer, partBytes);

    assertThat(buffer.complete(), is(body));
    assertThat(budget.reserved(), is((long) BODY_BYTES));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 1000, 8192, BODY_BYTES})
  void reservesNoMoreThanTheDeclaredLength(int partBytes) {
    BodyBuffer buffer = new BodyBuffer(budget, BODY_BYTES);
    appendAll(buffer, partBytes);

    assertThat(buffer.reserved(), lessThanOrEqualTo(BODY_BYTES));
    assertThat(buffer.complete(), is(body));
  }

  /** Guards against the loss of bytes that are appended again after a pause. */
  @Test
  void readsNothingOfPartWithoutRoom() {
    BodyBuffer buffer = new BodyBuffer(budget, -1);
    budget.tryReserveSmall(1 << 20);
    ByteBuf part = Unpooled.wrappedBuffer(new byte[] {1, 2, 3});

    assertThat(buffer.tryAppend(part), is(false));
    assertThat(part.readableBytes(), is(3));

    budget.release(1 << 20);
    assertThat(buffer.tryAppend(part), is(true));
    assertThat(buffer.complete(), is(new byte[] {1, 2, 3}));
  }

  /** Guards against many chunked bodies that take the part of the budget kept for small ones. */
  @Test
  void countsAsLargeOnceItIsLongerThanSmallOnes() {
    BodyBuffer buffer = new BodyBuffer(new BodyBudget(1 << 20, (1 << 20) - 1, 0), -1);

    assertThat(buffer.tryAppend(Unpooled.buffer().writeZero(1 << 19)), is(true));
    assertThat(buffer.tryAppend(Unpooled.buffer().writeZero(1)), is(false));
  }

  @Test
  void givesItsRoomBackIfItIsDiscarded() {
    BodyBuffer buffer = new BodyBuffer(budget, -1);
    appendAll(buffer, 8192);

    buffer.discard();

    assertThat(budget.reserved(), is(0L));
  }

  /** Guards against a body that is damaged or counted twice when it becomes the oversized one. */
  @ParameterizedTest
  @ValueSource(ints = {-1, BODY_BYTES})
  void isCompleteIfItIsLongerThanTheRoom(int declaredBytes) {
    BodyBudget small = new BodyBudget(100_000, 0, 400_000);
    BodyBuffer buffer = new BodyBuffer(small, declaredBytes);
    appendAll(buffer, 8192);

    assertThat(buffer.isOversized(), is(true));
    assertThat(buffer.complete(), is(body));
    assertThat(buffer.reserved(), is(0));

    small.releaseOversized();
    assertThat(small.reserved(), is(0L));
  }
}
