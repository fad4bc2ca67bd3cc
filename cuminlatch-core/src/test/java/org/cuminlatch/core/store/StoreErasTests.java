package org.cuminlatch.core.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A store that returns from an older copy")
class StoreErasTests {

  private static final Duration AGE = StoreEras.USUAL_COPY_AGE;

  private final Instant start = Instant.parse("2026-12-06T10:00:00Z");
  private final StoreEras eras = new StoreEras();

  private Instant at(int seconds) {
    return start.plusSeconds(seconds);
  }

  private boolean mayBeLost(int storedAtSecond, long era) {
    return eras.mayBeLost(new StoredMark(at(storedAtSecond), era), AGE);
  }

  @Nested
  class TheEra {

    @Test
    void changesOnlyOnceItWasKnown() {
      assertThat(eras.record(4, at(0)), is(false));
      assertThat(eras.record(4, at(1)), is(false));
      assertThat(eras.record(5, at(2)), is(true));
      assertThat(eras.latest(), is(5L));
    }

    /** Guards against a late response or a node that lags, which would repeat all writes. */
    @Test
    void doesNotGoBack() {
      eras.record(5, at(0));

      assertThat(eras.record(4, at(1)), is(false));
      assertThat(eras.record(5, at(2)), is(false));
      assertThat(eras.latest(), is(5L));
    }

    @Test
    void isNoneInStoreThatNamesNone() {
      assertThat(eras.record(StoreEras.NO_ERA, at(0)), is(false));
      assertThat(mayBeLost(0, StoreEras.NO_ERA), is(false));
      assertThat(eras.hasChangedWithin(Duration.ofDays(1), at(0)), is(false));
    }
  }

  @Nested
  class Records {

    /** Guards against a storm: all nodes would write all that they have ever written. */
    @Test
    void areKeptIfTheyWereStoredLongBefore() {
      eras.record(1, at(0));
      eras.recordContact(at(100));
      eras.record(2, at(101));

      assertThat(mayBeLost(80, 1), is(false));
      assertThat(mayBeLost(81, 1), is(true));
      assertThat(mayBeLost(101, 2), is(false));
    }

    /** Guards against a loss at a node that learns of the return long after it. */
    @Test
    void mayBeLostAtNodeThatWasCutOffSince() {
      eras.record(1, at(0));
      eras.recordContact(at(30));
      eras.record(2, at(500));

      assertThat(mayBeLost(29, 1), is(true));
    }

    /** Guards against a loss in a part of the mesh that was cut off and knew of no return. */
    @Test
    void mayBeLostAlthoughOtherNodesHaveNamedTheEarlierEraSince() {
      eras.record(1, at(0));
      eras.recordTold(1, at(490));
      eras.recordTold(2, at(500));

      assertThat(mayBeLost(1, 1), is(true));
    }

    /** Guards against a loss if the response to a write arrives after the node knows the era. */
    @Test
    void mayBeLostIfTheirResponseIsOfAnEarlierEra() {
      eras.record(1, at(0));
      eras.record(2, at(1));

      assertThat(mayBeLost(2, 1), is(true));
    }
  }

  @Nested
  class Reader {

    private final StreamCursor cursor = new StreamCursor();

    private boolean follow(long era, long from, long end, long streamEnd) {
      return cursor.onFollowed(OptionalLong.of(era), from, end, streamEnd);
    }

    @Test
    void goesOnInTheSameEra() {
      cursor.onNewest(OptionalLong.of(1), 7);

      assertThat(follow(1, 7, 9, 9), is(true));
      assertThat(cursor.next(), is(OptionalLong.of(9)));
    }

    /** Guards against records that are missed because their offsets have been read before. */
    @Test
    void startsAgainInNewEra() {
      cursor.onNewest(OptionalLong.of(1), 7);

      assertThat(follow(2, 7, 9, 9), is(false));
      assertThat(cursor.next(), is(OptionalLong.empty()));
    }

    @Test
    void startsAgainIfTheStreamEndsBeforeItsOffset() {
      cursor.onNewest(OptionalLong.empty(), 7);

      assertThat(cursor.onFollowed(OptionalLong.empty(), 7, 7, 6), is(false));
      assertThat(cursor.next(), is(OptionalLong.empty()));
    }

    /** Guards against a needless read because two reads overlapped. */
    @Test
    void keepsItsPositionIfAnEarlierReadEndsLater() {
      cursor.onNewest(OptionalLong.of(1), 7);
      follow(1, 7, 9, 9);

      assertThat(follow(1, 7, 7, 7), is(true));
      assertThat(cursor.next(), is(OptionalLong.of(9)));
    }
  }
}
