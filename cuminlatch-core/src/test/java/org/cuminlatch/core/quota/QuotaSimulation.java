package org.cuminlatch.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.cuminlatch.core.config.ClientAccount.Quota;
import org.cuminlatch.core.quota.QuotaClient.QuotaToken;

/** Nodes that share quotas, in virtual time: requests, frames and failures of nodes and links. */
final class QuotaSimulation {

  private static final long TICK_MICROS = 50_000;

  private final SplittableRandom random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Quota> quotas = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final Map<String, List<Long>> accepted = new HashMap<>();
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private final Map<String, List<Long>> refused = new HashMap<>();
  private final Map<String, List<Long>> offered = new HashMap<>();
  private final Set<Long> cutLinks = new HashSet<>();
  private final Set<Integer> notKnown = new HashSet<>();
  private double refusedShare;
  private long now;
  private long eventNumber;

  /** Number of changes of nodes and links so far. */
  private long changes;

  private long frames;

  private record Event(long at, long number, Runnable action) {}

  /** One process, with its clock at the time of the simulation. */
  private final class Node {

    private final int index;
    private final String address;
    private boolean up;
    private long frozenUntil;
    private boolean frozen;
    private Set<String> connected;
    private long connectedAt;
    private int incarnation;
    private QuotaClient client;
    private final Map<Integer, QuotaAllocator> allocators = new HashMap<>();
    private Duration startedAt;
    private AllocatorSelection selection;

    Node(int index) {
      this.index = index;
      this.address = "10.0.0.1:" + (10_000 + index);
    }

    void start() {
      up = true;
      changes++;
      connected = null;
      incarnation++;
      selection = new AllocatorSelection(address);
      startedAt = time();
      allocators.clear();
      client = new QuotaClient(address, time(), selection, this::connected, this::send);
      updateKnown();
      tick(incarnation);
    }

    QuotaAllocator allocator(int group) {
      return allocators.computeIfAbsent(
          group,
          unused ->
              new QuotaAllocator(account -> Optional.ofNullable(quotas.get(account)), startedAt));
    }

    void updateKnown() {
      selection.setKnown(
          nodes.stream()
              .filter(node -> node != this && !notKnown.contains(node.index))
              .map(node -> node.address)
              .toList());
    }

    void tick(int started) {
      if (up && incarnation == started) {
        run(() -> client.tick(time()));
        long delay = index % TICK_MICROS + TICK_MICROS;
        at(Math.max(now + delay, frozenUntil), () -> tick(started));
      }
    }

    /** Runs a step now, or when the node is no longer frozen. */
    void run(Runnable step) {
      int started = incarnation;
      if (now < frozenUntil) {
        at(
            frozenUntil,
            () -> {
              if (up && incarnation == started) {
                step.run();
              }
            });
      } else {
        step.run();
      }
    }

    /** Returns the connected nodes; computed anew only after a change, as most runs are calm. */
    Set<String> connected() {
      if (connectedAt == changes && connected != null) {
        return connected;
      }
      connectedAt = changes;
      connected = new HashSet<>();
      for (Node other : nodes) {
        if (other != this && other.up && !other.frozen && !isCut(this, other)) {
          connected.add(other.address);
        }
      }
      return connected;
    }

    void send(String to, QuotaRequest request) {
      Node target = nodes.get(Integer.parseInt(to.substring(to.indexOf(':') + 1)) - 10_000);
      int asked = incarnation;
      frames += target == this ? 0 : 2;
      deliver(
          target,
          () -> {
            List<QuotaGrant> grants =
                target
                    .allocator(request.group())
                    .handle(request, target.selection.knownNodes(), time());
            target.deliver(
                this,
                () -> {
                  if (incarnation == asked) {
                    client.onGrants(request.number(), grants, time());
                  }
                });
          });
    }

    private void deliver(Node target, Runnable handling) {
      long delay =
          target == this ? 1 : 500 + random.nextLong(index % 2 == target.index % 2 ? 3000 : 10_000);
      at(
          now + delay,
          () -> {
            if (target.up && (target == this || !isCut(this, target))) {
              target.run(handling);
            }
          });
    }
  }

  QuotaSimulation(long seed, int size) {
    random = new SplittableRandom(seed);
    for (int index = 0; index < size; index++) {
      nodes.add(new Node(index));
    }
  }

  /** Starts all nodes, each at some time within a period. */
  QuotaSimulation startAllWithin(double seconds) {
    for (Node node : nodes) {
      at(now + (long) (random.nextDouble() * seconds * 1e6), node::start);
    }
    return this;
  }

  void atSecond(double second, Runnable action) {
    at((long) (second * 1e6), action);
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, eventNumber++, action));
  }

  void setQuota(String account, Quota quota) {
    quotas.put(account, quota);
  }

  void stop(int index) {
    nodes.get(index).up = false;
    changes++;
  }

  void start(int index) {
    nodes.get(index).start();
  }

  void freeze(int index, double seconds) {
    Node node = nodes.get(index);
    node.frozenUntil = now + (long) (seconds * 1e6);
    node.frozen = true;
    changes++;
    at(
        node.frozenUntil,
        () -> {
          node.frozen = now < node.frozenUntil;
          changes++;
        });
  }

  /** Leaves a node out of what the others know, as before its first start. */
  void forget(int index) {
    notKnown.add(index);
  }

  void learn(int index) {
    notKnown.remove(index);
    nodes.stream().filter(node -> node.up).forEach(Node::updateKnown);
  }

  /** Cuts all links between a set of nodes and the others. */
  void cut(Set<Integer> side) {
    for (Node one : nodes) {
      for (Node other : nodes) {
        if (side.contains(one.index) != side.contains(other.index)) {
          cutLinks.add(link(one, other));
        }
      }
    }
    changes++;
  }

  /** Cuts the link between two nodes. */
  void cutLink(int one, int other) {
    cutLinks.add(link(nodes.get(one), nodes.get(other)));
    changes++;
  }

  void heal() {
    cutLinks.clear();
    changes++;
  }

  private boolean isCut(Node one, Node other) {
    return cutLinks.contains(link(one, other));
  }

  private static long link(Node one, Node other) {
    return Math.min(one.index, other.index) * 100_000L + Math.max(one.index, other.index);
  }

  /** Returns the node that the first node in touch with the others votes for. */
  int allocator(String account) {
    Map<String, Integer> votes = new HashMap<>();
    for (Node node : nodes) {
      if (node.up) {
        votes.merge(node.client.allocator(node.selection.groupOf(account)), 1, Integer::sum);
      }
    }
    String most =
        votes.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
    return Integer.parseInt(most.substring(most.indexOf(':') + 1)) - 10_000;
  }

  /**
   * Sends an account's requests by a Poisson process at each of some nodes.
   *
   * @param account the account
   * @param at nodes at which its clients are
   * @param perSecond requests per second at all of them together, by the time in seconds
   * @param untilSecond end
   */
  void offer(String account, List<Integer> at, DoubleUnaryOperator perSecond, double untilSecond) {
    for (int index : at) {
      nextArrival(account, nodes.get(index), perSecond, at.size(), untilSecond);
    }
  }

  private void nextArrival(
      String account, Node node, DoubleUnaryOperator perSecond, int count, double untilSecond) {
    double rate = Math.max(0.01, perSecond.applyAsDouble(now / 1e6) / count);
    double wait = Math.min(0.5, -Math.log(1 - random.nextDouble()) / rate);
    boolean arrives = wait < 0.5;
    at(
        now + 1 + (long) (wait * 1e6),
        () -> {
          if (now < untilSecond * 1e6) {
            if (arrives && node.up) {
              offered.computeIfAbsent(account, unused -> new ArrayList<>()).add(now);
              node.run(() -> acquire(account, node));
            }
            nextArrival(account, node, perSecond, count, untilSecond);
          }
        });
  }

  private void acquire(String account, Node node) {
    final long arrivedAt = now;
    node.client.acquire(
        account,
        new QuotaClient.Waiter() {
          @Override
          public void onToken(QuotaToken token) {
            if (random.nextDouble() < refusedShare) {
              at(now + 400_000, () -> node.client.giveBack(token, time()));
            } else {
              accepted.computeIfAbsent(account, unused -> new ArrayList<>()).add(now);
              arrivals.computeIfAbsent(account, unused -> new ArrayList<>()).add(arrivedAt);
            }
          }

          @Override
          public void onRefused() {
            refused.computeIfAbsent(account, unused -> new ArrayList<>()).add(now);
          }

          @Override
          public boolean isGone() {
            return !node.up;
          }
        },
        time());
  }

  /** Lets a share of the requests with a token be refused by targets. */
  void refuseShare(double share) {
    refusedShare = share;
  }

  void runUntil(double second) {
    long end = (long) (second * 1e6);
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  private Duration time() {
    return Duration.ofNanos(now * 1000);
  }

  /**
   * Returns the most requests of an account within any period of the bound, by the times at which
   * they got their tokens or by those at which they were sent.
   */
  int worstPeriod(String account, double fromSecond) {
    return Math.max(
        worstPeriod(accepted.getOrDefault(account, List.of()), fromSecond),
        worstPeriod(arrivals.getOrDefault(account, List.of()), fromSecond));
  }

  private static int worstPeriod(List<Long> unordered, double fromSecond) {
    long width = QuotaBounds.PERIOD.toNanos() / 1000;
    List<Long> times =
        unordered.stream().filter(time -> time >= fromSecond * 1e6).sorted().toList();
    int worst = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= width) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  int accepted(String account, double fromSecond, double toSecond) {
    return between(accepted, account, fromSecond, toSecond);
  }

  int offered(String account, double fromSecond, double toSecond) {
    return between(offered, account, fromSecond, toSecond);
  }

  int refused(String account, double fromSecond, double toSecond) {
    return between(refused, account, fromSecond, toSecond);
  }

  private static int between(
      Map<String, List<Long>> times, String account, double fromSecond, double toSecond) {
    return (int)
        times.getOrDefault(account, List.of()).stream()
            .filter(time -> time >= fromSecond * 1e6 && time < toSecond * 1e6)
            .count();
  }

  long frames() {
    return frames;
  }
}
