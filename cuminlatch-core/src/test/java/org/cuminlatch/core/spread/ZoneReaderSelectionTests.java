package org.cuminlatch.core.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Reader of a zone")
class ZoneReaderSelectionTests {

  private static List<String> readersOf(List<String> nodes) {
    return nodes.stream()
        .filter(node -> ZoneReaderSelection.isReader(node, without(node, nodes), Set.of()))
        .toList();
  }

  private static List<String> without(String node, List<String> nodes) {
    List<String> others = new ArrayList<>(nodes);
    others.remove(node);
    return others;
  }

  @Nested
  class WhenAllNodesKnowEachOther {

    @Test
    void isExactlyOneOfManyNodes() {
      assertThat(readersOf(List.of("n5", "n2", "n9", "n1", "n7")), contains("n1"));
    }

    @Test
    void isReplacedByTheNextNodeByName() {
      assertThat(readersOf(List.of("n5", "n9", "n7")), contains("n5"));
    }

    @Test
    void isTheOnlyNodeOfItsZone() {
      assertThat(readersOf(List.of("n5")), contains("n5"));
    }
  }

  @Nested
  class WhenTheReaderIsSilent {

    private final List<String> nodes = List.of("n1", "n2", "n3", "n4", "n5", "n6");

    private List<String> readersWithout(String... silentNames) {
      Set<String> silent = Set.of(silentNames);
      return nodes.stream()
          .filter(node -> !silent.contains(node))
          .filter(node -> ZoneReaderSelection.isReader(node, without(node, nodes), silent))
          .toList();
    }

    @Test
    void isReplacedByThreeNodes() {
      assertThat(readersWithout("n1"), contains("n2", "n3", "n4"));
    }

    @Test
    void isReplacedByOthersIfTheNextNodesAreSilentToo() {
      assertThat(readersWithout("n1", "n2", "n4"), contains("n3", "n5", "n6"));
    }

    @Test
    void isNotReplacedForTheSilenceOfOtherNodes() {
      assertThat(readersWithout("n2", "n3"), contains("n1"));
    }

    @Test
    void isObservedTogetherWithItsSubstitutes() {
      assertThat(ZoneReaderSelection.observedNodes(nodes), containsInAnyOrder("n1", "n2", "n3"));
    }
  }

  @Nested
  class WhenSomeNodesKnowFewOthers {

    @Test
    void isAtLeastOneNode() {
      List<String> nodes = List.of("n1", "n2", "n3", "n4");
      List<String> readers =
          nodes.stream()
              .filter(
                  node ->
                      ZoneReaderSelection.isReader(
                          node, node.equals("n4") ? List.of() : nodes, Set.of()))
              .toList();

      assertThat(readers, hasSize(greaterThanOrEqualTo(1)));
    }
  }
}
