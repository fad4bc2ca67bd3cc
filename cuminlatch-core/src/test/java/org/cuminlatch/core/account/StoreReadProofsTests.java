package org.cuminlatch.core.account;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.cuminlatch.core.account.KeyValidity.Proof;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A read of the store as a proof for keys")
class StoreReadProofsTests {

  private static final Duration RETURN = Duration.ofSeconds(100);
  private static final Duration SOON = RETURN.plusMillis(100);
  private static final Duration LATER = RETURN.plus(StoreReadProofs.REWRITE_PERIOD);

  private final StoreReadProofs proofs = new StoreReadProofs();

  private static Optional<Proof> proof(long version, Duration at) {
    return Optional.of(new Proof(version, at));
  }

  @Test
  void provesTheNewestVersionAtOnceAfterTheStart() {
    assertThat(proofs.prove(SOON), is(Optional.empty()));
    proofs.recordVersion(7);

    assertThat(proofs.prove(SOON), is(proof(7, SOON)));
  }

  /** Guards against a lost version that counts as the newest one because it was read before. */
  @Test
  void provesNothingOfVersionsReadBeforeTheReturn() {
    proofs.recordVersion(8);
    proofs.recordReturn(RETURN);
    assertThat(proofs.prove(LATER), is(Optional.empty()));

    proofs.recordVersion(7);

    assertThat(proofs.prove(LATER), is(proof(7, LATER)));
  }

  /** Guards against keys of a version whose successor the store has acknowledged and lost. */
  @Test
  void provesNothingUntilTheOperatorHadTimeToWriteAgain() {
    proofs.recordReturn(RETURN);
    proofs.recordVersion(7);

    assertThat(proofs.prove(SOON), is(Optional.empty()));
    assertThat(proofs.prove(LATER), is(proof(7, LATER)));
  }

  @Test
  void provesVersionThatWasWrittenAfterTheReturnAtOnce() {
    proofs.recordReturn(RETURN);
    proofs.recordVersion(7);
    proofs.recordVersion(8);

    assertThat(proofs.prove(SOON), is(proof(8, SOON)));
  }
}
