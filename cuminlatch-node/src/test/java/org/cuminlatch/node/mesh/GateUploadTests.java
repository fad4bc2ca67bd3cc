package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against bodies that reach a gate or its target before they are wanted. */
@DisplayName("The gate of an attempt whose body is sent in parts")
class GateUploadTests {

  private static final int PART_BYTES = 64 * 1024;

  /** What the sockets of a connection may hold: buffers of up to 4 MB to send, and small ones. */
  private static final long MAX_SOCKET_BYTES = 5L << 20;

  private final AtomicReference<ServerExchange> held = new AtomicReference<>();
  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(1);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Starts an attempt that holds the only slot of the target. */
  private void occupySlot() throws InterruptedException {
    fixture.setTarget(held::set);
    fixture.onLoop(() -> fixture.begin(1, false));
    GateFixture.await(() -> held.get() != null);
    fixture.setTarget(GateFixture::answer);
  }

  @Test
  void sendsNothingToItsTargetBeforeTheFirstPart() throws InterruptedException {
    fixture.onLoop(() -> fixture.beginUpload(1, 2L * PART_BYTES));
    fixture.awaitFrame(1, KindCase.CREDIT);

    assertThat(fixture.received(), is(empty()));
    assertThat(fixture.creditGranted(1), is((long) GateUpload.WINDOW_BYTES));
  }

  @Test
  void sendsTheWholeBodyToItsTarget() throws InterruptedException {
    AtomicReference<Integer> length = new AtomicReference<>();
    fixture.setTarget(
        exchange -> {
          length.set(exchange.body().length);
          GateFixture.answer(exchange);
        });
    fixture.onLoop(() -> fixture.beginUpload(1, -1));
    fixture.awaitFrame(1, KindCase.CREDIT);

    fixture.onLoop(() -> fixture.sendBody(1, PART_BYTES, false));
    fixture.onLoop(() -> fixture.sendBody(1, PART_BYTES, true));

    assertThat(fixture.awaitFrame(1, KindCase.ANSWER).getAnswer().getStatus(), is(200));
    assertThat(length.get(), is(2 * PART_BYTES));
  }

  @Test
  void grantsNoCreditBeforeTheAttemptHasSlot() throws InterruptedException {
    occupySlot();
    fixture.onLoop(() -> fixture.beginUpload(2, PART_BYTES));
    fixture.onLoop(() -> {});
    assertThat(fixture.find(2, KindCase.CREDIT), is(Optional.empty()));

    fixture.onLoop(() -> GateFixture.answer(held.get()));

    fixture.awaitFrame(2, KindCase.CREDIT);
  }

  /** Parts that are dropped before the slot is granted would leave a gap in the body. */
  @Test
  void refusesAnAttemptWhoseBodyComesBeforeItsCredit() throws InterruptedException {
    occupySlot();
    fixture.onLoop(() -> fixture.beginUpload(2, 2L * PART_BYTES));

    fixture.onLoop(() -> fixture.sendBody(2, PART_BYTES, false));
    fixture.onLoop(() -> fixture.sendBody(2, PART_BYTES, true));

    assertThat(
        fixture.awaitFrame(2, KindCase.REFUSAL).getRefusal().getReason(),
        is(RefusalReason.WITHDRAWN));
    fixture.onLoop(() -> GateFixture.answer(held.get()));
    fixture.awaitFrame(1, KindCase.ANSWER);
    assertThat(fixture.received().size(), is(1));
  }

  @Test
  void saysThatAnAttemptHasNotRunIfItIsCancelledBeforeTheFirstPart() throws InterruptedException {
    fixture.onLoop(() -> fixture.beginUpload(1, PART_BYTES));
    fixture.awaitFrame(1, KindCase.CREDIT);

    fixture.onLoop(() -> fixture.cancel(1));

    assertThat(fixture.awaitFrame(1, KindCase.CANCELLED).getCancelled().getNotRun(), is(true));
    fixture.onLoop(() -> fixture.begin(2));
    fixture.awaitFrame(2, KindCase.ANSWER);
  }

  @Test
  void saysThatAnAttemptMayHaveRunIfItIsCancelledAfterTheFirstPart() throws InterruptedException {
    fixture.onLoop(() -> fixture.beginUpload(1, 2L * PART_BYTES));
    fixture.awaitFrame(1, KindCase.CREDIT);
    fixture.onLoop(() -> fixture.sendBody(1, PART_BYTES, false));

    fixture.onLoop(() -> fixture.cancel(1));

    assertThat(fixture.awaitFrame(1, KindCase.CANCELLED).getCancelled().getNotRun(), is(false));
  }

  @Test
  void grantsNoMoreCreditThanItsTargetReads() throws Exception {
    try (ServerSocket silent = listenWithSmallBuffer();
        GateFixture other = new GateFixture(1, new Address("127.0.0.1", silent.getLocalPort()))) {
      other.onLoop(() -> other.beginUpload(1, -1));
      other.awaitFrame(1, KindCase.CREDIT);
      long sent = 0;
      for (long granted = -1; granted != other.creditGranted(1); Thread.sleep(200)) {
        granted = other.creditGranted(1);
        while (sent < granted) {
          other.onLoop(() -> other.sendBody(1, PART_BYTES, false));
          sent += PART_BYTES;
        }
      }

      assertThat(sent, lessThanOrEqualTo(MAX_SOCKET_BYTES + GateUpload.WINDOW_BYTES));
    }
  }

  private static ServerSocket listenWithSmallBuffer() throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReceiveBufferSize(PART_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return listener;
  }
}
