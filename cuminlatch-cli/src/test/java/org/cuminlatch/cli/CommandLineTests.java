package org.cuminlatch.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

@DisplayName("Command line")
class CommandLineTests {

  private final ToolFixture tool = new ToolFixture();

  @ParameterizedTest
  @EnumSource(Verb.class)
  void printsUsageOfEveryVerb(Verb verb) {
    List<String> words = new ArrayList<>(verb.words());
    words.add("--help");
    assertThat(tool.run(words.toArray(new String[0])), is(ExitStatus.OK));
    assertThat(tool.out(), startsWith("usage: cuminlatch " + verb.title()));
    assertThat(tool.out(), containsString(verb.summary()));
  }

  @Test
  void listsVerbsInHelp() {
    assertThat(tool.run("--help"), is(ExitStatus.OK));
    for (Verb verb : Verb.values()) {
      assertThat(tool.out(), containsString(verb.title()));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "frobnicate, unknown verb frobnicate",
    "move, unknown verb move",
    "publish --log http://h:1, FILE.toml",
    "routes, --node",
    "routes --node nowhere, '--node: found nowhere, expected http://host:port'",
    "move stop m --log h:1, '--log: found h:1, expected http://host:port'",
    "log tail --log http://h:1 --count many, many",
    "routes --node http://h:1 --wrong, --wrong"
  })
  void rejectsInvalidArgumentsWithOneLineError(String line, String expected) {
    assertThat(tool.run(line.split(" ")), is(ExitStatus.INVALID_INPUT));
    assertThat(tool.err(), startsWith("cuminlatch: "));
    assertThat(tool.err(), containsString(expected));
    assertThat(tool.err().strip().lines().count(), is(1L));
  }
}
