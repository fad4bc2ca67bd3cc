package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The memory for answers")
class AnswerMemoryTests {

  private static final int LARGE = 1000;

  private final AnswerMemory memory = new AnswerMemory(5000, LARGE);

  @Test
  void admitsRoutesWithLargeAnswersWhileThereIsRoom() {
    memory.recordAnswer("large", LARGE);

    assertThat(memory.admits("large", 4999), is(true));
    assertThat(memory.admits("large", 5000), is(false));
  }

  @Test
  void alwaysAdmitsRoutesWithSmallAnswers() {
    memory.recordAnswer("small", LARGE - 1);

    assertThat(memory.admits("small", 100_000), is(true));
    assertThat(memory.admits("unknown", 100_000), is(true));
  }

  @Test
  void admitsRoutesWhoseAnswersAreRarelyLarge() {
    memory.recordAnswer("mixed", 1);
    memory.recordAnswer("mixed", 2 * LARGE);
    assertThat(memory.admits("mixed", 5000), is(true));

    for (int i = 0; i < 8; i++) {
      memory.recordAnswer("mixed", 2 * LARGE);
    }
    assertThat(memory.admits("mixed", 5000), is(false));
  }
}
