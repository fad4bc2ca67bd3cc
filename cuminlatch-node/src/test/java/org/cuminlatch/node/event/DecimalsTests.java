package org.cuminlatch.node.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Locale;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A decimal number with three places")
class DecimalsTests {

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.0004, 0.02, 0.9996, 1, 12.3456, -0.25, -1, 1e9 + 0.125})
  void equalsThatOfTheFormatter(double value) {
    assertThat(Decimals.withThreePlaces(value), is(String.format(Locale.ROOT, "%.3f", value)));
  }
}
