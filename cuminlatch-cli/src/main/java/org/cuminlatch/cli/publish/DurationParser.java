package org.cuminlatch.cli.publish;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parser of durations that are written as an integer with a unit, such as {@code 500ms}. */
final class DurationParser {

  /** Description of the expected format, for error messages. */
  static final String EXPECTED_FORMAT = "a duration such as \"500ms\", \"2s\", \"10m\" or \"1h\"";

  private static final Pattern FORMAT = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

  private DurationParser() {}

  static Optional<Duration> parse(String text) {
    Matcher matcher = FORMAT.matcher(text.trim());
    return matcher.matches()
        ? Optional.of(toDuration(Long.parseLong(matcher.group(1)), matcher.group(2)))
        : Optional.empty();
  }

  private static Duration toDuration(long amount, String unit) {
    return switch (unit) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      default -> Duration.ofHours(amount);
    };
  }
}
