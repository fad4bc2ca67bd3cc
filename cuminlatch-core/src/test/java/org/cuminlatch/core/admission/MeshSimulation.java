package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.route.HomeRegions;
import org.cuminlatch.core.route.LinkBudget;
import org.cuminlatch.core.route.LoadPolicy;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.core.route.ServiceBalancer;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.core.route.TargetLoads;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;

/**
 * Plays a load against a mesh of several services on virtual time, with the decisions of the gates
 * and of the entry nodes.
 *
 * <p>Each node has a target, whose service times are random (Erlang) and depend on its speed.
 * Clients are bound to nodes by their accounts. Refused clients come back; some wait as long as
 * they are told, others come back at once. Processor time and failures of nodes are not part of it.
 */
final class MeshSimulation {

  /** Time before which the results of requests don't count. */
  static final Duration WARM_UP = Duration.ofSeconds(3);

  private static final double NESTED_SHARE = 0.7;

  /** Requests from which on the share of an account is more than chance. */
  private static final int MIN_REQUESTS = 40;

  private static final int ERLANG_STAGES = 4;
  private static final Duration CLIENT_DELAY = Duration.ofMillis(8);
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(250);
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);
  private static final int MAX_PLACEMENTS = 4;
  private static final int MAX_RETURNS = 2;
  private static final int MAX_RETURNS_AT_ONCE = 8;
  private static final Duration RETURN_AT_ONCE = Duration.ofMillis(25);

  /** Decisions that a run may do without. */
  enum Decision {
    NESTED_FIRST,
    ACCOUNT_SHARES,
    LOW_SAFETY,
    SERVICE_TIME,
    DISPLACEMENT
  }

  /** Requests of one route; {@code nested} are the calls that a run makes at the same moment. */
  record Kind(
      String route,
      String service,
      int priority,
      double perSecond,
      Duration work,
      Duration goal,
      Duration patience,
      Duration timeout,
      double value,
      double lateValue,
      List<Kind> nested) {}

  /** What became of the requests of a route or an account. */
  static final class Counts {
    int offered;
    int inTime;
    int late;
    int refused;
    int lost;
    double value;
    double valueOffered;

    double served() {
      return offered == 0 ? 1 : (double) (inTime + late) / offered;
    }

    double lostShare() {
      return offered == 0 ? 0 : (double) lost / offered;
    }

    double valueShare() {
      return value / valueOffered;
    }

    void add(Counts other) {
      offered += other.offered;
      inTime += other.inTime;
      late += other.late;
      refused += other.refused;
      lost += other.lost;
      value += other.value;
      valueOffered += other.valueOffered;
    }

    double inTimeShare() {
      return offered == 0 ? 1 : (double) inTime / offered;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%6d offered, in time %.3f, late %.3f, refused %.3f, lost %.3f",
          offered,
          inTimeShare(),
          served() - inTimeShare(),
          (double) refused / Math.max(1, offered),
          lostShare());
    }
  }

  /** Draws what clients do, so that runs with and without a decision have the same clients. */
  private final SplittableRandom clients;

  private final SplittableRandom random;
  private final Set<Decision> without;
  private final double shareAtOnce;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private final List<Node> nodes = new ArrayList<>();
  private final List<Account> accounts = new ArrayList<>();
  private ServiceIndex index;
  private Instant now = Instant.EPOCH;
  private long nextNumber;

  final Map<String, Counts> byRoute = new TreeMap<>();
  final Map<String, Counts> byAccount = new HashMap<>();
  final Counts all = new Counts();
  int requestsSent;
  int placementsSent;

  private record Event(Instant at, long number, Runnable action) {}

  private record Account(String name, double perSecond, int[] nodes) {}

  MeshSimulation(long seed, Set<Decision> without, double shareAtOnce) {
    this.clients = new SplittableRandom(seed);
    this.random = clients.split();
    this.without = without;
    this.shareAtOnce = shareAtOnce;
  }

  /** Adds targets of a service whose speeds are spread evenly, in 2 regions of 2 zones. */
  void addTargets(String service, int count, int slots, double slowest, double fastest) {
    for (int i = 0; i < count; i++) {
      double speed = slowest + (fastest - slowest) * i / Math.max(1, count - 1);
      Locality locality = new Locality("region" + i % 2, "zone" + i / 2 % 2);
      nodes.add(new Node(service + i, service, slots, speed, locality));
    }
    index = ServiceIndex.of(nodes.stream().map(node -> node.member).toList());
  }

  /** Adds accounts whose sizes follow Zipf's law; small ones enter at few nodes. */
  void addAccounts(int count, double perSecond) {
    double norm = 0;
    for (int i = 1; i <= count; i++) {
      norm += 1.0 / i;
    }
    for (int i = 1; i <= count; i++) {
      double rate = perSecond / i / norm;
      int entries = (int) Math.max(1, Math.min(nodes.size(), 4 * nodes.size() * rate / perSecond));
      int[] bound = clients.ints(entries, 0, nodes.size()).toArray();
      accounts.add(new Account("account" + i, rate, bound));
    }
  }

  double slotCapacity(String service) {
    return nodes.stream()
        .filter(node -> node.member.service().equals(service))
        .mapToDouble(node -> node.member.slots() * node.speed)
        .sum();
  }

  /** Adds requests of a kind, of one account or of all in proportion to their sizes. */
  void addRequests(Kind kind, OptionalInt account, double perSecond, Duration from, Duration to) {
    Instant end = Instant.EPOCH.plus(to);
    events.add(
        new Event(
            Instant.EPOCH.plus(from), nextNumber++, () -> arrive(kind, account, perSecond, end)));
  }

  private void arrive(Kind kind, OptionalInt account, double perSecond, Instant end) {
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - clients.nextDouble()) / perSecond * 1e9));
    if (now.plus(gap).isBefore(end)) {
      schedule(
          gap,
          () -> {
            new Client(kind, account.isPresent() ? accounts.get(account.getAsInt()) : drawAccount())
                .send();
            arrive(kind, account, perSecond, end);
          });
    }
  }

  private Account drawAccount() {
    if (accounts.isEmpty()) {
      return new Account("", 0, new int[] {clients.nextInt(nodes.size())});
    }
    double point = clients.nextDouble() * accounts.stream().mapToDouble(Account::perSecond).sum();
    int i = 0;
    while (i < accounts.size() - 1 && (point -= accounts.get(i).perSecond()) >= 0) {
      i++;
    }
    return accounts.get(i);
  }

  MeshSimulation play() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return this;
  }

  private void schedule(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), nextNumber++, action));
  }

  /** Adds the results of another run. */
  void addResults(MeshSimulation other) {
    all.add(other.all);
    other.byRoute.forEach((name, counts) -> counts(byRoute, name).add(counts));
    other.byAccount.forEach((name, counts) -> counts(byAccount, name).add(counts));
    requestsSent += other.requestsSent;
    placementsSent += other.placementsSent;
  }

  private static Counts counts(Map<String, Counts> map, String name) {
    return map.computeIfAbsent(name, unused -> new Counts());
  }

  /** Returns the least share of requests served that an account got. */
  double leastShareOfAccount() {
    return byAccount.values().stream()
        .filter(counts -> counts.offered >= MIN_REQUESTS)
        .mapToDouble(Counts::served)
        .min()
        .orElse(1);
  }

  /** Returns what all accounts but one got. */
  Counts withoutAccount(int account) {
    Counts others = new Counts();
    byAccount.forEach(
        (name, counts) -> {
          if (!name.equals(accounts.get(account).name())) {
            others.add(counts);
          }
        });
    return others;
  }

  /** Returns the part of the usual requests that an account sends. */
  double shareOfAccount(int account) {
    double sum = accounts.stream().mapToDouble(Account::perSecond).sum();
    return accounts.get(account).perSecond() / sum;
  }

  /** Returns the table of results. */
  String table() {
    StringBuilder text = new StringBuilder();
    byRoute.forEach((route, counts) -> text.append(row(route, counts)));
    text.append(row("all", all));
    return text.append(
            String.format(
                Locale.ROOT,
                "  score %.3f, value %.4f, least share of an account %.3f, requests %.2f and"
                    + " placements %.2f each%n",
                score(),
                all.valueShare(),
                leastShareOfAccount(),
                (double) requestsSent / all.offered,
                (double) placementsSent / all.offered))
        .toString();
  }

  /** Returns the part of the users' score that the load decides: value, share and nines. */
  double score() {
    double notServed = Math.max(0.001, 1 - all.served());
    return (0.32 * all.value / all.valueOffered
            + 0.2 * all.served()
            + 0.28 * -Math.log10(notServed) / 3)
        / 0.8;
  }

  private static String row(String name, Counts counts) {
    return String.format("  %-16s%s%n", name, counts);
  }

  private enum Outcome {
    ANSWERED,
    REFUSED,
    LOST
  }

  /** A client's operation: a request and those with which it comes back after refusals. */
  private final class Client {

    private final Kind kind;
    private final Account account;
    private final Instant startedAt = now;
    private final Instant deadline;
    private final boolean atOnce = clients.nextDouble() < shareAtOnce;
    private final Work work;
    private final Node entry;
    private int sent;

    Client(Kind kind, Account account) {
      this.kind = kind;
      this.account = account;
      this.deadline = now.plus(kind.patience());
      this.entry = nodes.get(account.nodes()[clients.nextInt(account.nodes().length)]);
      boolean nests = clients.nextDouble() < NESTED_SHARE;
      List<Kind> calls = nests ? kind.nested() : List.of();
      this.work =
          new Work(drawWork(kind), calls.stream().map(MeshSimulation.this::drawWork).toList());
    }

    void send() {
      sent++;
      requestsSent += isCounted() ? 1 : 0;
      Duration left = Duration.between(now, deadline);
      RequestOrigin origin =
          without.contains(Decision.ACCOUNT_SHARES)
              ? RequestOrigin.CLIENT
              : new RequestOrigin(false, account.name(), account.perSecond());
      schedule(
          CLIENT_DELAY, () -> new Request(kind, entry, origin, work, left, this::onEnd).start());
    }

    private void onEnd(Request request, Outcome outcome) {
      Duration left = Duration.between(now, deadline).minus(CLIENT_DELAY);
      double wait = Math.min(request.retryAfterSeconds(), left.toNanos() / 3e9);
      Duration pause = atOnce ? RETURN_AT_ONCE : Duration.ofNanos((long) (wait * 1e9));
      boolean returns = sent <= (atOnce ? MAX_RETURNS_AT_ONCE : MAX_RETURNS);
      if (outcome == Outcome.REFUSED && returns && left.compareTo(pause.plusMillis(50)) > 0) {
        schedule(CLIENT_DELAY.plus(pause), this::send);
      } else {
        schedule(CLIENT_DELAY, () -> count(outcome));
      }
    }

    private boolean isCounted() {
      return !startedAt.isBefore(Instant.EPOCH.plus(WARM_UP));
    }

    private void count(Outcome outcome) {
      if (!isCounted()) {
        return;
      }
      boolean inTime = !now.isAfter(startedAt.plus(kind.goal()));
      boolean answered = outcome == Outcome.ANSWERED && !now.isAfter(deadline);
      for (Counts counts :
          List.of(all, counts(byRoute, kind.route()), counts(byAccount, account.name()))) {
        counts.offered++;
        counts.valueOffered += kind.value();
        counts.inTime += answered && inTime ? 1 : 0;
        counts.late += answered && !inTime ? 1 : 0;
        counts.refused += outcome == Outcome.REFUSED ? 1 : 0;
        counts.lost += !answered && outcome != Outcome.REFUSED ? 1 : 0;
        counts.value += answered ? (inTime ? kind.value() : kind.lateValue()) : 0;
      }
    }
  }

  /** Time that a request needs at a target of speed 1, and that of the calls made meanwhile. */
  private record Work(Duration own, List<Duration> nested) {}

  /** Draws a service time from an Erlang distribution. */
  private Duration drawWork(Kind kind) {
    double sum = 0;
    for (int i = 0; i < ERLANG_STAGES; i++) {
      sum -= Math.log(1 - clients.nextDouble());
    }
    return Duration.ofNanos((long) (kind.work().toNanos() * sum / ERLANG_STAGES));
  }

  /** A request at its entry node, as EntryCall handles it. */
  private final class Request {

    private final Kind kind;
    private final Node entry;
    private final RequestOrigin origin;
    private final Work work;
    private final BiConsumer<Request, Outcome> onEnd;
    private final Instant goal;
    private final Instant deadline;
    private final Set<String> tried = new HashSet<>();
    private AttemptId attempt;
    private Node target;
    private Instant attemptAt;
    private double freeInSeconds = 0.2;
    private boolean ended;

    Request(
        Kind kind,
        Node entry,
        RequestOrigin origin,
        Work work,
        Duration allowed,
        BiConsumer<Request, Outcome> onEnd) {
      this.kind = kind;
      this.entry = entry;
      this.origin = origin;
      this.work = work;
      this.onEnd = onEnd;
      this.goal = now.plus(kind.goal()).minus(entry.patience.waitedBefore(kind.route(), allowed));
      this.deadline = now.plus(allowed.compareTo(kind.timeout()) < 0 ? allowed : kind.timeout());
    }

    void start() {
      schedule(Duration.between(now, deadline).plus(DEADLINE_GRACE), this::onTimeout);
      place();
    }

    double retryAfterSeconds() {
      double jittered = freeInSeconds * (0.75 + 0.5 * random.nextDouble());
      return Math.max(0.02, Math.min(1, jittered));
    }

    private void place() {
      boolean tooLate = Duration.between(now, deadline).compareTo(MIN_TIME_LEFT) < 0;
      Optional<Member> chosen =
          tooLate || tried.size() >= MAX_PLACEMENTS ? Optional.empty() : entry.choose(kind, tried);
      if (chosen.isEmpty()) {
        end(Outcome.REFUSED);
        return;
      }
      placementsSent += now.isBefore(Instant.EPOCH.plus(WARM_UP)) ? 0 : 1;
      target = node(chosen.get().instance());
      tried.add(chosen.get().instance());
      attempt = new AttemptId(1, nextNumber++);
      attemptAt = now;
      entry.loads.begin(chosen.get().instance(), now);
      AttemptId sent = attempt;
      schedule(entry.delayTo(target), () -> target.offer(sent, this));
    }

    /** Handles a response of the target's node, which was sent with its load. */
    void onResponse(AttemptId to, Outcome outcome, ReportedLoad load, Duration freeIn) {
      if (ended || !to.equals(attempt)) {
        return;
      }
      AttemptEnd end = outcome == Outcome.ANSWERED ? AttemptEnd.SERVED : AttemptEnd.INCONCLUSIVE;
      String instance = target.member.instance();
      entry.loads.recordReport(instance, load, now);
      entry.loads.end(instance, end, Duration.between(attemptAt, now), now);
      attempt = null;
      if (outcome == Outcome.REFUSED) {
        freeInSeconds = Math.min(freeInSeconds, freeIn.toNanos() / 1e9);
        place();
      } else {
        end(outcome);
      }
    }

    private void onTimeout() {
      if (!ended) {
        AttemptId withdrawn = attempt;
        schedule(entry.delayTo(target), () -> target.withdraw(withdrawn));
        entry.loads.end(target.member.instance(), AttemptEnd.INCONCLUSIVE, Duration.ZERO, now);
        end(Outcome.LOST);
      }
    }

    private void end(Outcome outcome) {
      ended = true;
      onEnd.accept(this, outcome);
    }
  }

  private Node node(String instance) {
    return nodes.stream().filter(n -> n.member.instance().equals(instance)).findFirst().get();
  }

  /**
   * A node with its target: the gate of the target, and the entry for clients and for the target.
   */
  private final class Node {

    private final Member member;
    private final double speed;
    private final GoalQueue queue;
    private final Map<AttemptId, Request> attempts = new HashMap<>();
    private final TargetLoads loads = new TargetLoads(LoadPolicy.FAILURE_WEIGHTED);
    private final ServiceBalancer balancer =
        new ServiceBalancer(loads, new LinkBudget(Long.MAX_VALUE / 16, now));
    private final CallerPatience patience = new CallerPatience();

    Node(String instance, String service, int slots, double speed, Locality locality) {
      Address address = new Address("10.0.0.1", 7000);
      this.member =
          new Member(
              instance,
              1,
              Member.Status.ALIVE,
              address,
              address,
              locality,
              service,
              "v1",
              slots,
              Member.Phase.SERVING,
              Set.of(),
              0,
              "");
      this.speed = speed;
      RequestRateLimit limit = new RequestRateLimit();
      limit.onAnswer(OptionalDouble.empty(), now, now);
      this.queue =
          new GoalQueue(
              slots,
              limit,
              without.contains(Decision.LOW_SAFETY) ? 2 : GoalQueue.SAFE_DEVIATIONS,
              without.contains(Decision.DISPLACEMENT)
                  ? Double.POSITIVE_INFINITY
                  : GoalQueue.DISPLACED_WORK);
    }

    Optional<Member> choose(Kind kind, Set<String> tried) {
      return balancer
          .chooseTarget(
              index,
              kind.service(),
              Optional.empty(),
              new ServiceBalancer.Context(member.locality(), tried, false, HomeRegions.ANY, now),
              random)
          .map(ServiceBalancer.ChosenTarget::member);
    }

    Duration delayTo(Node other) {
      return switch (member.locality().distanceTo(other.member.locality())) {
        case SAME_ZONE -> Duration.ofMillis(1);
        case SAME_REGION -> Duration.ofMillis(2);
        case OTHER_REGION -> Duration.ofMillis(9);
      };
    }

    void offer(AttemptId attempt, Request request) {
      attempts.put(attempt, request);
      GoalRequest offered =
          new GoalRequest(
              attempt,
              request.kind.route(),
              request.kind.priority(),
              request.goal,
              request.deadline,
              request.origin);
      apply(new SlotDecision(attempt, queue.offer(offered, now)));
      if (queue.hasDisplaced()) {
        poll();
      }
    }

    private void apply(SlotDecision decision) {
      switch (decision.kind()) {
        case ADMITTED -> run(decision.attempt(), attempts.get(decision.attempt()));
        case QUEUED -> {}
        default -> respond(decision.attempt(), Outcome.REFUSED);
      }
    }

    private void run(AttemptId attempt, Request request) {
      Duration half = Duration.ofNanos((long) (request.work.own().toNanos() / speed / 2));
      if (request.work.nested().isEmpty()) {
        schedule(half.multipliedBy(2), () -> complete(attempt, SlotEnd.ANSWERED));
      } else {
        schedule(half, () -> callOthers(attempt, request, half));
      }
    }

    /** Makes the calls of a request that is running; it fails if one of them is not answered. */
    private void callOthers(AttemptId attempt, Request request, Duration rest) {
      Kind called = request.kind.nested().get(0);
      Duration left = Duration.between(now, request.deadline);
      Duration allowed = left.compareTo(called.patience()) < 0 ? left : called.patience();
      boolean nested = !without.contains(Decision.NESTED_FIRST);
      int[] open = {request.work.nested().size()};
      BiConsumer<Request, Outcome> onEnd =
          (call, outcome) -> {
            if (outcome != Outcome.ANSWERED && open[0] > 0) {
              open[0] = 0;
              complete(attempt, SlotEnd.OTHER);
            } else if (--open[0] == 0) {
              schedule(rest, () -> complete(attempt, SlotEnd.ANSWERED));
            }
          };
      for (Duration own : request.work.nested()) {
        RequestOrigin origin = new RequestOrigin(nested, "", 0);
        new Request(called, this, origin, new Work(own, List.of()), allowed, onEnd).start();
      }
    }

    /** Ends the run of an attempt; without an answer to a call that it made, it fails. */
    private void complete(AttemptId attempt, SlotEnd end) {
      if (queue.release(attempt, end, now).isPresent()) {
        respond(attempt, end == SlotEnd.ANSWERED ? Outcome.ANSWERED : Outcome.LOST);
        poll();
      }
    }

    void withdraw(AttemptId attempt) {
      attempts.remove(attempt);
      if (!queue.withdraw(attempt) && queue.release(attempt, SlotEnd.OTHER, now).isPresent()) {
        poll();
      }
    }

    private void poll() {
      queue.poll(now).forEach(this::apply);
    }

    private void respond(AttemptId attempt, Outcome outcome) {
      Request request = attempts.remove(attempt);
      if (request != null) {
        ReportedLoad load =
            new ReportedLoad(
                queue.busy(),
                queue.queued(),
                member.slots(),
                Duration.ZERO,
                without.contains(Decision.SERVICE_TIME) ? Duration.ZERO : queue.meanServiceTime());
        Duration freeIn = queue.expectedWait(now);
        schedule(delayTo(request.entry), () -> request.onResponse(attempt, outcome, load, freeIn));
      }
    }
  }
}
