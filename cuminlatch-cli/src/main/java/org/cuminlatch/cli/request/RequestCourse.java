package org.cuminlatch.cli.request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/**
 * What the nodes say of one request, in the order of time.
 *
 * @param steps lines on the request, and on what the nodes that took part believed meanwhile
 * @param unreadable lines that hold no event
 */
public record RequestCourse(List<RequestStep> steps, long unreadable) {

  /** Time around the lines of a request in which beliefs may explain them. */
  static final Duration MARGIN = Duration.ofSeconds(2);

  /** Events that tell why attempts end or targets are left out. */
  private static final Set<String> EXPLAINING =
      Set.of(
          "node-behind",
          "node-caught-up",
          "link-lost",
          "link-silent",
          "link-suspect",
          "target-lost",
          "started",
          "stopping",
          "stopped",
          "store-lost",
          "log-lines-dropped");

  /** Copies the steps. */
  public RequestCourse {
    steps = List.copyOf(steps);
  }

  /**
   * Reads the lines of several nodes.
   *
   * @param request id of the request
   * @param files what the nodes have written, lines of several nodes may be mixed
   * @return the course, without steps if no line names the request
   * @throws CuminlatchException with {@code INVALID_SETTING} if a file can't be read
   */
  public static RequestCourse read(String request, List<Path> files) {
    List<EventLine> lines = new ArrayList<>();
    long unreadable = 0;
    for (Path file : files) {
      try (Stream<String> text = Files.lines(file, StandardCharsets.UTF_8)) {
        for (String line : (Iterable<String>) text::iterator) {
          if (!EventLine.read(line).map(lines::add).orElse(false)) {
            unreadable++;
          }
        }
      } catch (IOException | UncheckedIOException error) {
        throw CuminlatchException.of(
            ErrorCode.INVALID_SETTING,
            Step.SETTINGS,
            file.toString(),
            file + " can't be read",
            error);
      }
    }
    return new RequestCourse(steps(request, lines), unreadable);
  }

  private static List<RequestStep> steps(String request, List<EventLine> lines) {
    List<EventLine> own = lines.stream().filter(line -> line.isAbout(request)).toList();
    if (own.isEmpty()) {
      return List.of();
    }
    Comparator<Instant> earlier = Comparator.naturalOrder();
    Instant from = own.stream().map(EventLine::time).min(earlier).orElseThrow().minus(MARGIN);
    Instant to = own.stream().map(EventLine::time).max(earlier).orElseThrow().plus(MARGIN);
    Set<String> nodes = new HashSet<>();
    Set<String> targets = new HashSet<>();
    own.forEach(
        line -> {
          nodes.add(line.node());
          targets.add(line.text("target"));
        });
    lines.stream()
        .filter(line -> line.event().equals("peer-status") && targets.contains(line.text("target")))
        .forEach(line -> nodes.add(line.text("peer")));
    return lines.stream()
        .filter(
            line ->
                line.isAbout(request)
                    || explains(line, nodes)
                        && !line.time().isBefore(from)
                        && !line.time().isAfter(to))
        .sorted(Comparator.comparing(EventLine::time))
        .map(line -> RequestStep.of(line, line.isAbout(request)))
        .toList();
  }

  private static boolean explains(EventLine line, Set<String> nodes) {
    return nodes.contains(line.node()) && EXPLAINING.contains(line.event());
  }
}
