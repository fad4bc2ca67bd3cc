package org.cuminlatch.testkit.target;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;
import org.cuminlatch.testkit.http.Query;

/**
 * Faults of a target.
 *
 * @param failShare share of requests that are executed and answered with 500
 * @param cutShare share of requests that are executed and answered by closing the connection
 * @param slowdown time added to the execution of each request
 * @param failPath prefix of the paths on which all requests fail
 * @param failAfterCalls number of requests after which all requests fail, negative for never
 * @param silent whether requests are accepted but never answered
 * @param claimedState state that {@code /health} reports instead of the actual one
 * @param claimedBusy busy slots that {@code /load} reports instead of the actual number
 * @param hintLag maximum age of the data in answers of {@code /health} and {@code /load}
 */
public record Behaviour(
    double failShare,
    double cutShare,
    Duration slowdown,
    Optional<String> failPath,
    long failAfterCalls,
    boolean silent,
    Optional<String> claimedState,
    Optional<Long> claimedBusy,
    Duration hintLag) {

  /** Validates the components. */
  public Behaviour {
    inRange(failShare, 0, 1, "failShare");
    inRange(cutShare, 0, 1, "cutShare");
    notNull(slowdown, "slowdown");
    notNull(failPath, "failPath");
    notNull(claimedState, "claimedState");
    notNull(claimedBusy, "claimedBusy");
    notNull(hintLag, "hintLag");
  }

  /**
   * Returns the behaviour of a target without faults.
   *
   * @return the behaviour
   */
  public static Behaviour faultless() {
    return of(Query.parse(null));
  }

  /**
   * Reads a behaviour from {@code failShare}, {@code cutShare}, {@code slowMillis}, {@code
   * failPath}, {@code failAfterCalls}, {@code silent}, {@code lieHealth}, {@code lieBusy} and
   * {@code hintLagMillis}; a missing parameter means no fault.
   *
   * @param query the parameters
   * @return the behaviour
   * @throws IllegalArgumentException if a parameter has a wrong type or is out of range
   */
  public static Behaviour of(Query query) {
    return new Behaviour(
        query.text("failShare").map(Double::parseDouble).orElse(0.0),
        query.text("cutShare").map(Double::parseDouble).orElse(0.0),
        Duration.ofMillis(query.number("slowMillis", 0)),
        query.text("failPath"),
        query.number("failAfterCalls", -1),
        query.text("silent").map(Boolean::parseBoolean).orElse(false),
        query.text("lieHealth"),
        query.text("lieBusy").map(Long::parseLong),
        Duration.ofMillis(query.number("hintLagMillis", 0)));
  }

  boolean fails(String path, long executionNumber, double random) {
    boolean onFailingPath = failPath.map(path::startsWith).orElse(false);
    boolean afterLastSuccess = failAfterCalls >= 0 && executionNumber > failAfterCalls;
    return onFailingPath || afterLastSuccess || random < failShare;
  }
}
