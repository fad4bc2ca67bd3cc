package org.cuminlatch.wire.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipMessage.Ack;
import org.cuminlatch.core.membership.MembershipMessage.Digest;
import org.cuminlatch.core.membership.MembershipMessage.FloorAnswer;
import org.cuminlatch.core.membership.MembershipMessage.FloorQuery;
import org.cuminlatch.core.membership.MembershipMessage.Gossip;
import org.cuminlatch.core.membership.MembershipMessage.Ping;
import org.cuminlatch.core.membership.MembershipMessage.PingRequest;
import org.cuminlatch.core.membership.MembershipMessage.Sender;
import org.cuminlatch.core.membership.MembershipMessage.Summary;
import org.cuminlatch.core.membership.MembershipMessage.Sync;
import org.cuminlatch.core.membership.MembershipMessage.VersionNote;
import org.cuminlatch.core.membership.MembershipMessage.ZoneDigest;
import org.cuminlatch.core.membership.Update;
import org.cuminlatch.core.spread.InForce;
import org.cuminlatch.core.spread.SpreadMessage.Checkpoint;
import org.cuminlatch.core.spread.SpreadMessage.Heartbeat;
import org.cuminlatch.core.spread.SpreadMessage.Progress;
import org.cuminlatch.core.spread.SpreadMessage.Pull;
import org.cuminlatch.core.spread.SpreadMessage.Records;
import org.cuminlatch.core.spread.SpreadMessage.VersionCount;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@DisplayName("Control frames")
class ControlFrameCodecTests {

  private static final Address ADDRESS = new Address("10.1.2.254", 7_000);
  private static final Locality ZONE = new Locality("ege", "izmir");
  private static final Sender SENDER = new Sender("n1", 1_900_000_000L, 17, "deadbeef", -5);
  private static final Member MEMBER =
      new Member(
          "n2",
          3,
          Member.Status.SUSPECT,
          ADDRESS,
          new Address("10.1.2.254", 7_001),
          ZONE,
          "siparis",
          "v1",
          6,
          Member.Phase.DRAINING,
          Set.of(1, 2),
          17,
          "deadbeef");
  private static final List<Update> UPDATES =
      List.of(new Update.Announcement(MEMBER), new Update.Verdict("n3", 4, Member.Status.DEAD));

  private final ControlFrameCodec codec = codec("mesh");

  private static ControlFrameCodec codec(String mesh) {
    return ControlFrameCodec.of(mesh, List.of(new MembershipCodec(), new SpreadCodec()));
  }

  static List<ControlMessage> messages() {
    LogRecord logged = new LogRecord(16, Bytes.copyOf(new byte[700]));
    return List.of(
        new Ping(1, SENDER, "n2", UPDATES),
        new Ack(1, SENDER, UPDATES),
        new PingRequest(2, SENDER, "n2", ADDRESS),
        new Gossip(UPDATES),
        new Digest(SENDER, List.of(new ZoneDigest(ZONE, 99))),
        new Summary(SENDER, List.of(ZONE), List.of(1L, -2L)),
        new Sync(SENDER, UPDATES, List.of(7L)),
        new VersionNote("n1", 17),
        new FloorQuery("n1"),
        new FloorAnswer("n2", 17, 18),
        new Heartbeat("n1", 3, 17, true, new InForce(17, 5, 9)),
        new Records(17, List.of(logged), true),
        new Pull(3),
        new Progress("n1", List.of(new VersionCount(17, "deadbeef", 4))),
        new Checkpoint(17, Bytes.copyOf(new byte[] {1, 2})));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void areEqualAfterEncodingAndDecoding(ControlMessage message) {
    byte[] frame = codec.encode(ADDRESS, message).bytes();
    ControlFrameCodec.DecodedFrame decoded = codec.decode(frame).orElseThrow();
    assertThat(decoded.message(), is(message));
    assertThat(decoded.sender(), is(ADDRESS));
  }

  @Nested
  class WithInvalidInput {

    private final byte[] frame = codec.encode(ADDRESS, new Ping(1, SENDER, "n2", UPDATES)).bytes();

    @Test
    void areIgnoredIfTheyBelongToAnotherMesh() {
      assertThat(codec("other").decode(frame), is(Optional.empty()));
    }

    @Test
    void areRejectedIfTruncated() {
      byte[] truncated = Arrays.copyOf(frame, frame.length - 3);
      assertThat(decodeError(truncated), is(ErrorCode.INVALID_FRAME));
    }

    @Test
    void areRejectedIfLargerThanTheMaximum() {
      byte[] oversized = new byte[ControlFrameCodec.MAX_FRAME_BYTES + 1];
      assertThat(decodeError(oversized), is(ErrorCode.INVALID_FRAME));
    }

    @Test
    void areRejectedIfThePayloadInflatesBeyondTheMaximum() {
      Bytes content = Bytes.copyOf(new byte[ControlFrameCodec.MAX_PAYLOAD_BYTES]);
      byte[] bomb = codec.encode(ADDRESS, new Checkpoint(1, content)).bytes();
      assertThat(decodeError(bomb), is(ErrorCode.INVALID_FRAME));
    }

    private ErrorCode decodeError(byte[] bytes) {
      return assertThrows(CuminlatchException.class, () -> codec.decode(bytes)).code();
    }
  }
}
