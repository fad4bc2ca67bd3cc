package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The selection of the nodes that write an exit")
class ExitWriterSelectionTests {

  private static final TargetExit EXIT = new TargetExit("i-1", 1000);

  private final List<String> nodes =
      IntStream.range(0, 20).mapToObj(number -> "node-" + number).toList();

  @Test
  void selectsThree() {
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
