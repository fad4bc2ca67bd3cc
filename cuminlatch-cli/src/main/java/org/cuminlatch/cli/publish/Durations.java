package org.cuminlatch.cli.publish;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as operators write them: a whole number and a unit. */
final class Durations {

  /** What a wrong duration should have been. */
  static final String WANTED = "a duration such as \"500ms\", \"2s\", \"10m\" or \"1h\"";

  private static final Pattern FORM = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

  private Durations() {}

  static Optional<Duration> parse(String text) {
    Matcher matcher = FORM.matcher(text.trim());
    return matcher.matches()
        ? Optional.of(of(Long.parseLong(matcher.group(1)), matcher.group(2)))
        : Optional.empty();
  }

  private static Duration of(long amount, String unit) {
    return switch (unit) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      default -> Duration.ofHours(amount);
    };
  }
}
