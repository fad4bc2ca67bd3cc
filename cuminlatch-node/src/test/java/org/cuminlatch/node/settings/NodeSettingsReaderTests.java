package org.cuminlatch.node.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.Set;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The settings file of a node")
class NodeSettingsReaderTests {

  private static final String COMPLETE =
      """
      mesh = "barrachod"
      [instance]
      name = "a1"
      region = "leinster"
      zone = "a"
      [control]
      listen = "127.0.0.1:7001"
      seeds = ["127.0.0.1:7002"]
      [calls]
      listen = "127.0.0.1:7101"
      http = "127.0.0.1:7201"
      [operator]
      listen = "127.0.0.1:7301"
      [target]
      url = "http://127.0.0.1:7401"
      service = "bookings"
      version = "v1"
      slots = 15
      [log]
      urls = ["http://127.0.0.1:7501"]
      """;

  @Nested
  class WhenComplete {

    @Test
    void isRead() {
      NodeSettings settings = NodeSettingsReader.parse(COMPLETE);

      assertThat(settings.locality().region(), is("leinster"));
      assertThat(settings.target().slots(), is(15));
    }

    @Test
    void takesDefaultsForWhatItLeavesOut() {
      NodeSettings settings = NodeSettingsReader.parse(COMPLETE);

      assertThat(settings.target().connections(), is(130));
      assertThat(settings.schemaVersions(), equalTo(Set.of(1, 2)));
      assertThat(settings.layout(), is(NodeSettings.LogLayout.JSON));
    }
  }

  @Nested
  class WhenWrong {

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @CsvSource(
        delimiter = '|',
        value = {
          "slots = 15 | slots = 0 | target.slots had 0; it wants a whole number between 1 and",
          "slots = 15 | slots = '15' | target.slots had 15; it wants",
          "slots = 15 | slot = 15 | target.slots had nothing",
          "slots = 15 | extra = 1%nslots = 15 | target.extra had 1; it wants no such key",
          "mesh = \"barrachod\" | mesh = 3 | mesh had 3; it wants a text",
          "zone = \"a\" | zone = \" \" | instance.zone had  ; it wants a text",
          "listen = \"127.0.0.1:7001\" | listen = \"7001\" | control.listen had 7001; it wants",
          "[\"127.0.0.1:7002\"] | [\"x\"] | control.seeds had x; it wants an address",
          "http://127.0.0.1:7401 | ftp://127.0.0.1 | target.url had ftp://127.0.0.1; it wants an http",
          "[log] | [logs] | log had nothing",
          "[operator] | [operator | the file is not TOML",
        })
    void isRefusedInOneLineThatNamesTheKey(String from, String to, String message) {
      String toml = COMPLETE.replace(from.strip(), to.strip().replace("%n", "\n"));

      CuminlatchException refusal =
          assertThrows(CuminlatchException.class, () -> NodeSettingsReader.parse(toml));

      assertThat(refusal.code(), is(ErrorCode.INVALID_SETTING));
      assertThat(refusal.getMessage(), containsString(message.strip()));
      assertThat(refusal.getMessage().lines().count(), is(1L));
    }

    @Test
    void missingFileIsRefused() {
      CuminlatchException refusal =
          assertThrows(
              CuminlatchException.class, () -> NodeSettingsReader.read(Path.of("no-such.toml")));

      assertThat(refusal.getMessage(), containsString("no-such.toml"));
    }
  }
}
