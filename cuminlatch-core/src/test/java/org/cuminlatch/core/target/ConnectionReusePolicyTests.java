package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The reuse of connections")
class ConnectionReusePolicyTests {

  private final Instant start = Instant.ofEpochSecond(1000);
  private final ConnectionReusePolicy policy = new ConnectionReusePolicy();

  @Test
  void isPermittedAtFirst() {
    assertThat(policy.permitsReuse(start), is(true));
  }

  @Test
  void isSuspendedAfterUnsolicitedBytes() {
    policy.recordUnsolicitedBytes(start);

    assertThat(policy.permitsReuse(start), is(false));
    assertThat(policy.permitsReuse(start.plusMillis(1999)), is(false));
    assertThat(policy.permitsReuse(start.plusSeconds(2)), is(true));
  }

  @Test
  void staysSuspendedWhileTheyGoOn() {
    for (int second = 0; second < 10; second++) {
      policy.recordUnsolicitedBytes(start.plusSeconds(second));
    }

    assertThat(policy.permitsReuse(start.plusSeconds(10)), is(false));
    assertThat(policy.permitsReuse(start.plusSeconds(11)), is(true));
  }
}
