package org.cuminlatch.cli.request;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Describes a logged event in words. A name in braces stands for the value of that field of the
 * event.
 */
final class EventDescription {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{(\\w+)}");

  private static final Map<String, String> TEMPLATES_BY_EVENT =
      Map.ofEntries(
          Map.entry(
              "routed",
              "sends it as attempt {number} to target {target} (version {version} of {service}),"
                  + " selected by {reason}, with {leftMillis} ms left, configuration {config}"),
          Map.entry(
              "refused",
              "refuses it with {status}, not executed: {reason}; the caller may retry after"
                  + " {retryAfter} s; configuration {config}"),
          Map.entry(
              "gate-refused",
              "has no free slot at target {target}: {reason}, {running} of {limit} slots in use"
                  + " and {waiting} requests waiting"),
          Map.entry(
              "target-failed",
              "receives no complete answer from target {target}: {reason}; request sent: {sent}"),
          Map.entry(
              "attempt-failed",
              "records attempt {number} at target {target} as failed: {reason}; idempotent:"
                  + " {idempotent}; {leftMillis} ms left"),
          Map.entry(
              "answered", "returns the answer of target {target}: {status} after {tookMillis} ms"),
          Map.entry(
              "failed",
              "fails it with {status}, it may have been executed: {reason}, after {attempts}"
                  + " attempts and {tookMillis} ms"),
          Map.entry(
              "call-ended-early",
              "ends it early after {tookMillis} ms: {reason}; attempt {number} had been at target"
                  + " {target} for {attemptMillis} ms"),
          Map.entry(
              "abandoned",
              "does not handle it: its caller had left before it was read; the node lags by"
                  + " {lagMillis} ms"),
          Map.entry(
              "attempt-withdrawn",
              "withdraws its attempt from target {target} after {heldMillis} ms; sent to the"
                  + " target: {dispatched}, for {ranMillis} ms"),
          Map.entry("node-behind", "falls behind: its traffic loop lags by {lagMillis} ms"),
          Map.entry("node-caught-up", "has caught up: its traffic loop no longer lags"),
          Map.entry("rejected", "rejects it with {status}: {reason}"),
          Map.entry("link-lost", "loses its connection to the node at {peer}"),
          Map.entry(
              "link-silent",
              "closes the connection to the node at {peer}, silent for {silentMillis} ms"),
          Map.entry(
              "link-suspect", "sends no more requests to the node at {peer}, which is silent"),
          Map.entry("target-leaving", "learns from an answer that target {target} leaves"),
          Map.entry("target-excluded", "sends no more requests to target {target}, which leaves"),
          Map.entry(
              "target-left-before", "learns that target {target} left before the node's restart"),
          Map.entry("target-limit", "limits target {target} to {perSecond} requests per second"),
          Map.entry(
              "unsolicited-bytes",
              "receives {bytes} bytes from {from} that no request has asked for ({position})"),
          Map.entry("target-lost", "marks target {target} as unreachable: {reason}"),
          Map.entry(
              "peer-status",
              "receives status of {peer}: target {target} is {phase}, node stopping: {stops}"),
          Map.entry("started", "has started"),
          Map.entry("stopping", "has been asked to stop"),
          Map.entry("stopped", "has stopped"),
          Map.entry("configuration", "has configuration {version} in force"),
          Map.entry("store-lost", "cannot read {stream} from the store: {reason}"),
          Map.entry("store-regained", "can read {stream} from the store again"),
          Map.entry(
              "log-lines-dropped", "has dropped {lines} log lines beyond its logging budget"));

  private EventDescription() {}

  static String of(EventLine line) {
    String template = TEMPLATES_BY_EVENT.get(line.event());
    if (template == null) {
      return line.event() + " " + line.fields();
    }
    Matcher placeholder = PLACEHOLDER.matcher(template);
    return placeholder.replaceAll(found -> Matcher.quoteReplacement(line.text(found.group(1))));
  }
}
