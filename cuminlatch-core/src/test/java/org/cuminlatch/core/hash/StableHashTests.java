package org.cuminlatch.core.hash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The stable hash")
class StableHashTests {

  @Test
  void hasSameValueInEveryRelease() {
    assertThat(Long.toHexString(StableHash.of("izmir-1")), is("cb7353071a4b20bc"));
  }

  @Test
  void distinguishesSameCharactersSplitElsewhere() {
    assertThat(StableHash.of("ab", "c"), not(StableHash.of("a", "bc")));
  }
}
