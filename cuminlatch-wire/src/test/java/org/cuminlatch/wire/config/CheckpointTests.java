package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A checkpoint")
class CheckpointTests {

  private final ReplicaFixture writer = ReplicaFixture.create();
  private final ReplicaFixture reader = ReplicaFixture.create();

  @BeforeEach
  void fillWriter() {
    writer.publish(new TargetVersion("siparis", "v1"));
    writer.publish(new TargetVersion("siparis", "v2"));
    writer.publish(new TargetVersion("siparis", "v3"));
    writer.publish(Samples.headerRoute("canary", "1"));
    writer.publish(Route.of("orders", "/orders", "siparis"));
    writer.publish(Samples.move("m", Optional.of("orders"), "v1", "v2"));
    writer.publish(Samples.outcome("m", Result.DONE));
    writer.publish(Samples.move("n", Optional.of("canary"), "v1", "v3"));
    writer.publish(new MoveStop("n", "why"));
    writer.publish(Route.of("lost", "/lost", "nowhere"));
  }

  @Test
  void restoresTheWholeState() {
    assertThat(reader.replica.restore(writer.replica.checkpoint()), is(true));
    assertThat(reader.snapshot(), equalTo(writer.snapshot()));
    assertThat(reader.replica.checkpoint(), equalTo(writer.replica.checkpoint()));
  }

  @Test
  void restoresTheRecordIdsSoThatRepeatsAreDropped() {
    Bytes record =
        ConfigurationCodecs.encode("r", Route.of("a", "/a", "siparis"), OptionalLong.empty());
    writer.append(record);
    reader.replica.restore(writer.replica.checkpoint());
    reader.log.addAll(writer.log);
    assertThat(reader.append(record), is(Optional.of(RefusalReason.REPEATED_RECORD_ID)));
  }

  @Test
  void isIgnoredByReplicaAtTheSameOrHigherVersion() {
    Bytes checkpoint = writer.replica.checkpoint();
    reader.replica.restore(checkpoint);
    assertThat(reader.replica.restore(checkpoint), is(false));
    writer.publish(Route.of("more", "/more", "siparis"));
    assertThat(writer.replica.restore(checkpoint), is(false));
    assertThat(writer.replica.version(), is(11L));
  }

  @Test
  void leavesNoEarlierRecordsToServeToPeers() {
    reader.replica.restore(writer.replica.checkpoint());
    assertThat(reader.replica.oldestRetained(), is(reader.replica.version()));
    assertThat(reader.replica.recordsFrom(0, 1_000), equalTo(List.of()));
  }

  @Nested
  class ThatIsDamaged {

    private final byte[] whole = checkpoint();

    private byte[] checkpoint() {
      fillWriter();
      return writer.replica.checkpoint().toArray();
    }

    @Test
    void isRejectedIfTruncatedAtAnyByte() {
      for (int length = 0; length < whole.length; length++) {
        assertRejected(Arrays.copyOf(whole, length));
      }
    }

    @Test
    void isRejectedIfAnyByteIsChanged() {
      for (int i = 0; i < whole.length; i++) {
        byte[] changed = whole.clone();
        changed[i] ^= 1;
        assertRejected(changed);
      }
    }

    @Test
    void isRejectedIfTrailingBytesFollow() {
      assertRejected(Arrays.copyOf(whole, whole.length + 1));
    }

    private void assertRejected(byte[] checkpoint) {
      reader.publish(new TargetVersion("saha", "v1"));
      final Snapshot before = reader.snapshot();
      CuminlatchException error =
          assertThrows(
              CuminlatchException.class, () -> reader.replica.restore(Bytes.copyOf(checkpoint)));
      assertThat(error.code(), is(ErrorCode.INVALID_CHECKPOINT));
      assertThat(reader.snapshot(), equalTo(before));
    }
  }
}
