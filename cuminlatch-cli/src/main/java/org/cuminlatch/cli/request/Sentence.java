package org.cuminlatch.cli.request;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Says in a sentence what a line means; names in braces stand for the line's fields. */
final class Sentence {

  private static final Pattern FIELD = Pattern.compile("\\{(\\w+)}");

  private static final Map<String, String> BY_EVENT =
      Map.ofEntries(
          Map.entry(
              "routed",
              "sends it as attempt {number} to target {target} (version {version} of {service}),"
                  + " chosen by {reason}, with {leftMillis} ms left, by configuration {config}"),
          Map.entry(
              "refused",
              "refuses it with {status}, not executed: {reason}; the caller may come back after"
                  + " {retryAfter} s; configuration {config}"),
          Map.entry(
              "gate-refused",
              "has no slot for it at target {target}: {reason}, {running} of {limit} slots in use"
                  + " and {waiting} waiting"),
          Map.entry(
              "target-failed",
              "gets no whole answer from target {target}: {reason}; request sent: {sent}"),
          Map.entry(
              "attempt-failed",
              "counts attempt {number} at target {target} as failed: {reason}; may be repeated:"
                  + " {idempotent}; {leftMillis} ms left"),
          Map.entry(
              "answered",
              "passes the answer of target {target} on: {status} after {tookMillis} ms"),
          Map.entry(
              "failed",
              "ends it with {status}, it may have been executed: {reason}, after {attempts}"
                  + " attempts and {tookMillis} ms"),
          Map.entry(
              "call-ended-early",
              "ends it after {tookMillis} ms: {reason}; attempt {number} had been at target"
                  + " {target} for {attemptMillis} ms"),
          Map.entry("node-behind", "is behind with its own work, by {lagMillis} ms"),
          Map.entry("node-caught-up", "has caught up with its own work"),
          Map.entry("rejected", "rejects it with {status}: {reason}"),
          Map.entry("link-lost", "loses its connection to the node at {peer}"),
          Map.entry("link-silent", "gives up the node at {peer}, silent for {silentMillis} ms"),
          Map.entry("link-suspect", "sends nothing more to the node at {peer}, which is silent"),
          Map.entry("target-lost", "counts target {target} as lost: {reason}"),
          Map.entry(
              "peer-status", "hears from node {peer}: target {target} is {phase}, stops: {stops}"),
          Map.entry("started", "has started"),
          Map.entry("stopping", "has been asked to stop"),
          Map.entry("stopped", "has stopped"),
          Map.entry("configuration", "has configuration {version} in force"),
          Map.entry("store-lost", "can't read {stream} from the store: {reason}"),
          Map.entry("store-regained", "reads {stream} from the store again"),
          Map.entry("log-lines-dropped", "has dropped {lines} lines beyond its budget"));

  private Sentence() {}

  static String of(EventLine line) {
    String pattern = BY_EVENT.get(line.event());
    if (pattern == null) {
      return line.event() + " " + line.fields();
    }
    Matcher field = FIELD.matcher(pattern);
    return field.replaceAll(found -> Matcher.quoteReplacement(line.text(found.group(1))));
  }
}
