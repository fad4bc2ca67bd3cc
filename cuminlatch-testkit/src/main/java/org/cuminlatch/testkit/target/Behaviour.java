package org.cuminlatch.testkit.target;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;
import org.cuminlatch.testkit.http.Query;

/**
 * How a target misbehaves.
 *
 * @param failShare share of requests that it runs and answers with 500
 * @param cutShare share of requests that it runs and answers by closing the connection
 * @param slow time added to each request
 * @param failPath prefix of the paths whose requests all fail
 * @param failAfterCalls number of requests after which all fail, negative for never
 * @param silent whether it takes requests and answers none
 * @param claimedState state that {@code /health} claims, whatever is true
 * @param claimedBusy busy slots that {@code /load} claims, whatever is true
 * @param hintLag how old the answers of {@code /health} and {@code /load} may be
 */
public record Behaviour(
    double failShare,
    double cutShare,
    Duration slow,
    Optional<String> failPath,
    long failAfterCalls,
    boolean silent,
    Optional<String> claimedState,
    Optional<Long> claimedBusy,
    Duration hintLag) {

  /** Checks the fields. */
  public Behaviour {
    inRange(failShare, 0, 1, "failShare");
    inRange(cutShare, 0, 1, "cutShare");
    notNull(slow, "slow");
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
  public static Behaviour good() {
    return of(Query.parse(null));
  }

  /**
   * Reads a behaviour from {@code failShare}, {@code cutShare}, {@code slowMillis}, {@code
   * failPath}, {@code failAfterCalls}, {@code silent}, {@code lieHealth}, {@code lieBusy} and
   * {@code hintLagMillis}; what is not given is good.
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

  boolean fails(String path, long callNumber, double draw) {
    boolean onPath = failPath.map(path::startsWith).orElse(false);
    boolean worn = failAfterCalls >= 0 && callNumber > failAfterCalls;
    return onPath || worn || draw < failShare;
  }
}
