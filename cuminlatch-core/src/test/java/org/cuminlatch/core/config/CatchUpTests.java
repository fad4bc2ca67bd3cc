package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.cuminlatch.core.config.CatchUp.Source;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Catching up")
class CatchUpTests {

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration PATIENCE = Duration.ofSeconds(3);

  private final CatchUp catchUp = new CatchUp(PATIENCE, START);

  @Test
  void asksPeersFirst() {
    assertThat(catchUp.source(4, START), is(Source.PEERS));
    catchUp.onPeerState();
    assertThat(catchUp.source(4, START.plus(PATIENCE)), is(Source.CAUGHT_UP));
  }

  @Test
  void goesToTheLogAtOnceWithoutPeers() {
    assertThat(catchUp.source(0, START), is(Source.CHECKPOINT));
  }

  @Test
  void goesToTheLogOncePeersAreSilent() {
    assertThat(catchUp.source(4, START.plus(PATIENCE)), is(Source.CHECKPOINT));
    catchUp.onCheckpointsRead();
    assertThat(catchUp.source(4, START.plus(PATIENCE)), is(Source.RECORDS));
    catchUp.onLogEnd();
    assertThat(catchUp.source(4, START.plus(PATIENCE)), is(Source.CAUGHT_UP));
  }

  @Test
  void takesPeersStateWheneverItComes() {
    catchUp.source(4, START.plus(PATIENCE));
    catchUp.onPeerState();
    catchUp.onCheckpointsRead();
    assertThat(catchUp.source(4, START.plus(PATIENCE)), is(Source.CAUGHT_UP));
  }

  @Test
  void beginsAnewOnceTheLogHasDroppedTheNextRecord() {
    catchUp.onPeerState();
    Instant woken = START.plus(Duration.ofHours(9));
    catchUp.onTruncated(woken);
    assertThat(catchUp.source(4, woken), is(Source.PEERS));
    assertThat(catchUp.source(4, woken.plus(PATIENCE)), is(Source.CHECKPOINT));
  }
}
