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
    void isParsed() {
      NodeSettings settings = NodeSettingsReader.parse(COMPLETE);

      assertThat(settings.locality().region(), is("leinster"));
      assertThat(settings.target().slots(), is(15));
    }

    @Test
    void usesDefaultsForMissingOptionalKeys() {
      NodeSettings settings = NodeSettingsReader.parse(COMPLETE);

      assertThat(settings.target().connections(), is(130));
      assertThat(settings.schemaVersions(), equalTo(Set.of(1, 2)));
      assertThat(settings.layout(), is(NodeSettings.LogLayout.JSON));
    }
  }

  @Nested
  class WhenInvalid {

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @CsvSource(
        delimiter = '|',
        value = {
          "slots = 15 | slots = 0 | target.slots: found 0, expected an integer between 1 and",
          "slots = 15 | slots = '15' | target.slots: found 15, expected",
          "slots = 15 | slot = 15 | target.slots: found nothing",
          "slots = 15 | extra = 1%nslots = 15 | target.extra: found 1, expected one of the keys",
          "mesh = \"barrachod\" | mesh = 3 | mesh: found 3, expected a string",
          "zone = \"a\" | zone = \" \" | instance.zone: found  , expected a string",
          "listen = \"127.0.0.1:7001\" | listen = \"7001\" | control.listen: found 7001, expected",
          "[\"127.0.0.1:7002\"] | [\"x\"] | control.seeds: found x, expected an address",
          "http://127.0.0.1:7401 | ftp://127.0.0.1 | target.url: found ftp://127.0.0.1, expected an http",
          "[log] | [logs] | log: found nothing",
          "[operator] | [operator | settings file: invalid TOML",
        })
    void isRejectedWithOneLineThatNamesTheKey(
        String validText, String invalidText, String message) {
      String toml = COMPLETE.replace(validText.strip(), invalidText.strip().replace("%n", "\n"));

      CuminlatchException error =
          assertThrows(CuminlatchException.class, () -> NodeSettingsReader.parse(toml));

      assertThat(error.code(), is(ErrorCode.INVALID_SETTING));
      assertThat(error.getMessage(), containsString(message.strip()));
      assertThat(error.getMessage().lines().count(), is(1L));
    }

    @Test
    void isRejectedIfTheFileIsMissing() {
      CuminlatchException error =
          assertThrows(
              CuminlatchException.class, () -> NodeSettingsReader.read(Path.of("no-such.toml")));

      assertThat(error.getMessage(), containsString("no-such.toml"));
    }
  }
}
