package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The retention of an exit")
class ExitRetentionTests {

  private static final TargetExit EXIT = new TargetExit("i-1", 1000);
  private static final TargetExit LATER_START = new TargetExit("i-1", 2000);

  private final ExitRetention retention = new ExitRetention(EXIT);

  @Test
  void needsTheStoreOrTwoNodes() {
    assertThat(retention.isRetained(5), is(false));

    retention.record(ExitToken.known(EXIT), "a");
    retention.record(ExitToken.known(EXIT), "a");
    assertThat(retention.isRetained(5), is(false));

    retention.record(ExitToken.known(EXIT), "b");
    assertThat(retention.isRetained(5), is(true));
    assertThat(retention.isStored(), is(false));
  }

  @Test
  void needsAllNodesIfThereAreFewer() {
    assertThat(retention.isRetained(1), is(false));

    retention.record(ExitToken.known(EXIT), "a");
    assertThat(retention.isRetained(1), is(true));
  }

  @Test
  void isGivenOnceAnotherNodeHasStoredTheExit() {
    retention.record(ExitToken.stored(EXIT), "a");

    assertThat(retention.isStored(), is(true));
    assertThat(retention.isRetained(5), is(true));
  }

  @Test
  void isNotGivenByTokensOfAnotherStart() {
    retention.record(ExitToken.stored(LATER_START), "a");
    retention.record(ExitToken.known(LATER_START), "b");
    retention.record(ExitToken.known(LATER_START), "c");

    assertThat(retention.isRetained(5), is(false));
  }

  @Nested
  class WhenOtherNodesStoreIt {

    private final List<String> nodes =
        IntStream.range(0, 20).mapToObj(number -> "node-" + number).toList();

    @Test
    void isWrittenByThreeOfThem() {
      long writers =
          nodes.stream()
              .filter(
                  node ->
                      ExitWriterSelection.isWriter(
                          EXIT, node, nodes.stream().filter(other -> !other.equals(node)).toList()))
              .count();

      assertThat(writers, is(3L));
    }
  }
}
