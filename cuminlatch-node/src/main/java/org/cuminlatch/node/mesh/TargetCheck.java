package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ClientCall;
import org.cuminlatch.node.http.ClientListener;
import org.cuminlatch.node.http.ClientRequest;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.node.http.ResponseOwner;

/**
 * Sends a health check to a target that may have told an earlier process of its node that it is
 * cold, leaves or names a request limit, before it gets a request. All answers of such a target say
 * so, also those to health checks, which it may get at any time. Used on the traffic loop.
 *
 * <p>Only targets that can become cold are checked, as too many requests make them crash. For the
 * others, the delay and the check would cost callers more at each restart than the few requests
 * that are sent before the first answer.
 */
final class TargetCheck {

  /** Time after which the target gets requests without an answer. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

  /**
   * Time for which the configuration, which names the path, is awaited. Without a configuration the
   * node has no calls of its own, and only other nodes send attempts.
   */
  private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(1);

  /** Number of the first report of a start; no earlier process can have sent requests to it. */
  private static final long FIRST_SEQUENCE = 1;

  private final EventLoop loop;
  private final HttpClient client;
  private final InstantSource clock;
  private final HeaderNames names;
  private final EventLog log;
  private final MeshMetrics metrics;
  private final Listener listener;
  private Optional<Optional<String>> healthPath = Optional.empty();
  private Optional<Check> check = Optional.empty();

  TargetCheck(
      EventLoop loop,
      HttpClient client,
      InstantSource clock,
      HeaderNames names,
      EventLog log,
      MeshMetrics metrics,
      Listener listener) {
    this.loop = loop;
    this.client = client;
    this.clock = clock;
    this.names = names;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Receives the result. */
  interface Listener {

    /** Called with the answer of the target, which is the one that was expected. */
    void onAnswer(ClientResponse response, Instant sentAt);

    /** Called when another target has answered. */
    void onReplaced();

    /** Called after the above, or if there is no answer. */
    void onEnd();
  }

  /** Sets the path of the configuration in force, empty if the target is not to be checked. */
  void setPath(Optional<String> path) {
    healthPath = Optional.of(path);
    check.ifPresent(Check::startIfConfigured);
  }

  /** Checks the target of a report if it is not the first report of its start. */
  void onStart(TargetReport report) {
    check.ifPresent(Check::cancel);
    check = Optional.empty();
    if (report.sequence() != FIRST_SEQUENCE) {
      check = Optional.of(new Check(report.instance()));
      check.get().startIfConfigured();
    }
  }

  /** Returns whether an answer is awaited. */
  boolean isRunning() {
    return check.filter(pending -> pending.call != null).isPresent();
  }

  /** Returns whether the check can't be sent yet and the target must not get requests. */
  boolean awaitsConfiguration() {
    return check
        .filter(pending -> pending.call == null)
        .filter(pending -> clock.instant().isBefore(pending.awaitsUntil))
        .isPresent();
  }

  /** A check of one start of the target, until it has ended. */
  private final class Check implements ClientListener {

    private final String instance;
    private final Instant awaitsUntil = clock.instant().plus(CONFIGURATION_TIMEOUT);
    private Instant sentAt;
    private ClientCall call;
    private Future<?> timer;

    Check(String instance) {
      this.instance = instance;
    }

    void startIfConfigured() {
      if (healthPath.isEmpty() || call != null) {
        return;
      }
      if (healthPath.get().isEmpty()) {
        check = Optional.empty();
        return;
      }
      sentAt = clock.instant();
      timer = loop.schedule(this::onTimeout, ANSWER_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
      call =
          client.send(
              new ClientRequest(
                  "GET",
                  healthPath.get().get(),
                  List.of(
                      Map.entry("Host", "localhost"),
                      Map.entry(names.expectedInstance(), instance)),
                  new byte[0],
                  Duration.ZERO,
                  response -> ResponseOwner.UNSPECIFIED),
              this);
    }

    void cancel() {
      if (call != null) {
        call.cancel();
        timer.cancel(false);
      }
    }

    @Override
    public void onResponse(ClientResponse response) {
      end(
          Integer.toString(response.status()),
          () -> {
            if (response.status() == 421) {
              listener.onReplaced();
            } else {
              listener.onAnswer(response, sentAt);
            }
          });
    }

    @Override
    public void onFailure(Failure failure) {
      end("failed", () -> {});
    }

    private void onTimeout() {
      call.cancel();
      end("timeout", () -> {});
    }

    private void end(String outcome, Runnable action) {
      if (check.filter(pending -> pending == this).isEmpty()) {
        return;
      }
      check = Optional.empty();
      timer.cancel(false);
      log.event("target-checked")
          .with("target", instance)
          .with("outcome", outcome)
          .with("tookMillis", Duration.between(sentAt, clock.instant()).toMillis())
          .write();
      metrics.countTargetCheck(outcome);
      action.run();
      listener.onEnd();
    }
  }
}
