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
 * Timeline of one request, reconstructed from the event logs of the nodes.
 *
 * @param events events of the request, and events of the involved nodes that may explain them, in
 *     chronological order
 * @param unreadableLines number of lines that hold no event
 */
public record RequestTimeline(List<RequestEvent> events, long unreadableLines) {

  /** Time before and after the events of a request in which other events may explain them. */
  static final Duration CONTEXT_WINDOW = Duration.ofSeconds(2);

  /** Events that may explain why an attempt ended or a target was not selected. */
  private static final Set<String> CONTEXT_EVENTS =
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

  /** Copies the list. */
  public RequestTimeline {
    events = List.copyOf(events);
  }

  /**
   * Reads the event logs of several nodes.
   *
   * @param request id of the request
   * @param files the logs; a file may hold lines of several nodes
   * @return the timeline, without events if no line names the request
   * @throws CuminlatchException with {@code INVALID_SETTING} if a file cannot be read
   */
  public static RequestTimeline read(String request, List<Path> files) {
    List<EventLine> lines = new ArrayList<>();
    long unreadableLines = 0;
    for (Path file : files) {
      try (Stream<String> text = Files.lines(file, StandardCharsets.UTF_8)) {
        for (String line : (Iterable<String>) text::iterator) {
          if (!EventLine.parse(line).map(lines::add).orElse(false)) {
            unreadableLines++;
          }
        }
      } catch (IOException | UncheckedIOException error) {
        throw CuminlatchException.of(
            ErrorCode.INVALID_SETTING,
            Step.SETTINGS,
            file.toString(),
            file + " cannot be read",
            error);
      }
    }
    return new RequestTimeline(selectEvents(request, lines), unreadableLines);
  }

  private static List<RequestEvent> selectEvents(String request, List<EventLine> lines) {
    List<EventLine> requestLines = lines.stream().filter(line -> line.belongsTo(request)).toList();
    if (requestLines.isEmpty()) {
      return List.of();
    }
    Comparator<Instant> chronological = Comparator.naturalOrder();
    Instant from =
        requestLines.stream()
            .map(EventLine::time)
            .min(chronological)
            .orElseThrow()
            .minus(CONTEXT_WINDOW);
    Instant to =
        requestLines.stream()
            .map(EventLine::time)
            .max(chronological)
            .orElseThrow()
            .plus(CONTEXT_WINDOW);
    Set<String> nodes = new HashSet<>();
    Set<String> targets = new HashSet<>();
    requestLines.forEach(
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
                line.belongsTo(request)
                    || isContext(line, nodes)
                        && !line.time().isBefore(from)
                        && !line.time().isAfter(to))
        .sorted(Comparator.comparing(EventLine::time))
        .map(line -> RequestEvent.of(line, line.belongsTo(request)))
        .toList();
  }

  private static boolean isContext(EventLine line, Set<String> nodes) {
    return nodes.contains(line.node()) && CONTEXT_EVENTS.contains(line.event());
  }
}
