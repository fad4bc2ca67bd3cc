package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.control.Outbox;

/** In-memory network in virtual time: delays, loss and cuts; events run in the order of time. */
public final class VirtualNetwork {

  private record Event(Instant at, long order, Runnable action) {}

  /** Takes a message at an address. */
  @FunctionalInterface
  public interface Endpoint {
    /** Takes a message. */
    void receive(Address from, ControlMessage message, Instant now);
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at().equals(b.at())
                  ? Long.compare(a.order(), b.order())
                  : a.at().compareTo(b.at()));
  private final Map<Address, Endpoint> endpoints = new HashMap<>();
  private final SplittableRandom random;
  private final List<Consumer<ControlMessage>> taps = new ArrayList<>();
  private Duration delay = Duration.ofMillis(1);
  private double loss;
  private BiPredicate<Address, Address> cut = (from, to) -> false;
  private Instant now = Instant.parse("2030-01-01T00:00:00Z");
  private long order;

  /** Creates a network whose losses follow a seed. */
  public VirtualNetwork(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the virtual time. */
  public Instant now() {
    return now;
  }

  /** Loses a share of all messages. */
  public void lose(double share) {
    loss = share;
  }

  /** Loses all messages between some addresses. */
  public void cut(BiPredicate<Address, Address> between) {
    cut = between;
  }

  /** Ends a cut. */
  public void heal() {
    cut = (from, to) -> false;
  }

  /** Shows all messages sent. */
  public void tap(Consumer<ControlMessage> tap) {
    taps.add(tap);
  }

  /** Delivers the messages of an address. */
  public void attach(Address address, Endpoint endpoint) {
    endpoints.put(address, endpoint);
  }

  /** Stops to deliver the messages of an address. */
  public void detach(Address address) {
    endpoints.remove(address);
  }

  /** Returns what an address sends by. */
  public Outbox outboxOf(Address from) {
    return (to, message) -> {
      taps.forEach(tap -> tap.accept(message));
      if (random.nextDouble() >= loss && !cut.test(from, to)) {
        after(delay, () -> deliver(from, to, message));
      }
    };
  }

  private void deliver(Address from, Address to, ControlMessage message) {
    Endpoint endpoint = endpoints.get(to);
    if (endpoint != null) {
      endpoint.receive(from, message, now);
    }
  }

  /** Runs an action later. */
  public void after(Duration wait, Runnable action) {
    events.add(new Event(now.plus(wait), order++, action));
  }

  /** Lets virtual time pass. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = end;
  }
}
