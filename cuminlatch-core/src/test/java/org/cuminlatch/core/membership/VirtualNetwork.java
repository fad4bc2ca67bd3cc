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

/**
 * In-memory network in virtual time with delay, message loss and partitions; events run in the
 * order of their time.
 */
public final class VirtualNetwork {

  private record Event(Instant at, long sequence, Runnable action) {}

  /** Receiver of the messages to an address. */
  @FunctionalInterface
  public interface Endpoint {
    /** Takes a message. */
    void receive(Address from, ControlMessage message, Instant now);
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at().equals(b.at())
                  ? Long.compare(a.sequence(), b.sequence())
                  : a.at().compareTo(b.at()));
  private final Map<Address, Endpoint> endpoints = new HashMap<>();
  private final SplittableRandom random;
  private final List<Consumer<ControlMessage>> taps = new ArrayList<>();
  private Duration messageDelay = Duration.ofMillis(1);
  private double lossRate;
  private BiPredicate<Address, Address> partition = (from, to) -> false;
  private Instant now = Instant.parse("2030-01-01T00:00:00Z");
  private long sequence;

  /** Creates a network whose message losses are determined by a seed. */
  public VirtualNetwork(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the virtual time. */
  public Instant now() {
    return now;
  }

  /** Drops a share of all messages, from 0 to 1. */
  public void setLossRate(double share) {
    lossRate = share;
  }

  /** Drops all messages between the pairs of addresses that match. */
  public void partition(BiPredicate<Address, Address> isPartitioned) {
    partition = isPartitioned;
  }

  /** Ends a partition. */
  public void heal() {
    partition = (from, to) -> false;
  }

  /** Adds a consumer that receives all messages sent. */
  public void tap(Consumer<ControlMessage> tap) {
    taps.add(tap);
  }

  /** Registers the endpoint that receives the messages to an address. */
  public void attach(Address address, Endpoint endpoint) {
    endpoints.put(address, endpoint);
  }

  /** Stops the delivery of messages to an address. */
  public void detach(Address address) {
    endpoints.remove(address);
  }

  /** Returns the outbox of an address. */
  public Outbox outboxOf(Address from) {
    return (to, message) -> {
      taps.forEach(tap -> tap.accept(message));
      if (random.nextDouble() >= lossRate && !partition.test(from, to)) {
        after(messageDelay, () -> deliver(from, to, message));
      }
    };
  }

  private void deliver(Address from, Address to, ControlMessage message) {
    Endpoint endpoint = endpoints.get(to);
    if (endpoint != null) {
      endpoint.receive(from, message, now);
    }
  }

  /** Schedules an action. */
  public void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), sequence++, action));
  }

  /** Advances the virtual time and runs the events that become due. */
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
