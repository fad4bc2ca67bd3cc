package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminlatch.core.quota.QuotaRequest.Need;

/**
 * A node's stock of tokens for the requests that enter at it, and its requests for more.
 *
 * <p>The node holds what it expects to use until the next grant. A request that finds no token
 * waits for the answer of the allocator, which is asked at once. While an account's quota is used
 * up, the allocator is asked at intervals; what it can't grant is refused then.
 *
 * <p>Used on one event loop; times are those of a clock that never goes back and advances while the
 * machine is suspended.
 */
public final class QuotaClient {

  /** Interval at which a node asks for tokens that it will need; requests share the frame. */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(150);

  /** Interval of the votes; one may be late before a vote no longer counts. */
  private static final Duration VOTE_INTERVAL = Duration.ofMillis(400);

  /** Time after which a request that was not answered is sent again, before waiting ends. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(200);

  /** Time for which a request of a caller waits for a token, of goals of half a second or more. */
  private static final Duration MAX_WAIT = Duration.ofMillis(300);

  /** The same after the start, when the connection to the allocator is still being opened. */
  private static final Duration MAX_WAIT_AT_START = Duration.ofMillis(700);

  /** Time after the start of the process that counts as the start. */
  static final Duration START_PERIOD = Duration.ofSeconds(3);

  /** Expected use that the stock covers: the interval of requests and the way of an answer. */
  private static final double STOCK_SECONDS = 0.2;

  /** Expected use from which a node holds a stock; tokens held by many nodes lie unused. */
  private static final double MIN_STOCK = 1;

  /**
   * Time within which a token may be given back. Tokens of an earlier time would add to what the
   * bound allows in the present period.
   */
  private static final Duration RETURN_PERIOD = Duration.ofSeconds(2);

  /** Period over which the rate of an account's requests is averaged. */
  private static final double RATE_SECONDS = 1;

  private static final Duration ACCOUNT_IDLE_TIMEOUT = Duration.ofSeconds(30);

  private final String self;
  private final Duration startedAt;
  private final AllocatorSelection selection;
  private final Supplier<Set<String>> connected;
  private final Sender sender;
  private final Map<String, Stock> stocks = new HashMap<>();
  private final Map<Integer, Ballot> ballots = new HashMap<>();
  private long lastNumber;

  /** Sends a request to an allocator, which may be the own node. */
  @FunctionalInterface
  public interface Sender {

    /**
     * Sends a request.
     *
     * @param allocator address of the allocator
     * @param request the request
     */
    void send(String allocator, QuotaRequest request);
  }

  /** A request of a caller that waits for a token. */
  public interface Waiter {

    /**
     * Called when the request may proceed.
     *
     * @param token the token, to be returned if the request does not run
     */
    void onToken(QuotaToken token);

    /** Called when the request must be refused because the quota is used up. */
    void onRefused();

    /** Returns whether the request has ended meanwhile, so that it needs no token. */
    boolean isGone();
  }

  /**
   * Permission to run one request of an account.
   *
   * @param account name of the account
   * @param takenAt time at which a request took it
   */
  public record QuotaToken(String account, Duration takenAt) {}

  /** The node's vote for the allocator of a group, and its request that awaits an answer. */
  private static final class Ballot {

    private final int group;
    private String allocator = "";
    private Duration sentAt = Duration.ZERO;
    private boolean awaitsAnswer;
    private long number;

    /** Times of the latest requests to the allocator, whose answers may come late. */
    private final Map<Long, Duration> sent = new LinkedHashMap<>();

    /** Whether the request under way withdraws the vote from the allocator. */
    private boolean leaving;

    /** When the latest vote that counts was sent. */
    private Duration votedAt = Duration.ZERO;

    /** Time until which a vote may still count at an earlier allocator. */
    private Duration countsElsewhereUntil = Duration.ZERO;

    Ballot(int group) {
      this.group = group;
    }
  }

  private record Batch(int[] left, Duration expiresAt) {}

  private record Waiting(Waiter waiter, Duration until) {}

  private static final class Stock {

    private final String account;
    private int group;
    private int groups;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double rate;
    private Duration rateAt = Duration.ZERO;
    private int released;
    private int returned;

    /**
     * Requests that waited when tokens were last asked for; the allocator counts theirs as used.
     */
    private int askedFor;

    private boolean exhausted;

    Stock(String account) {
      this.account = account;
    }

    int group(AllocatorSelection selection) {
      if (groups != selection.groups()) {
        groups = selection.groups();
        group = selection.groupOf(account);
      }
      return group;
    }

    void recordArrival(Duration now) {
      rate = rateAt(now) + 1 / RATE_SECONDS;
      rateAt = now;
    }

    double rateAt(Duration now) {
      return rate * Math.exp(-QuotaBounds.seconds(now.minus(rateAt)) / RATE_SECONDS);
    }

    boolean take() {
      Batch first = batches.peek();
      if (first == null) {
        return false;
      }
      first.left()[0]--;
      if (first.left()[0] == 0) {
        batches.poll();
      }
      if (askedFor > 0) {
        askedFor--;
      } else {
        released++;
      }
      return true;
    }

    void expire(Duration now) {
      while (!batches.isEmpty() && now.compareTo(batches.peek().expiresAt()) >= 0) {
        int unused = batches.poll().left()[0];
        released += unused;
        returned += unused;
      }
    }

    int held() {
      return batches.stream().mapToInt(batch -> batch.left()[0]).sum();
    }

    int wanted(Duration now) {
      double expected = rateAt(now) * STOCK_SECONDS;
      int target = expected < MIN_STOCK ? 0 : (int) Math.round(expected);
      return Math.max(0, waitingNow() + target - held());
    }

    int waitingNow() {
      return (int) waiting.stream().filter(request -> !request.waiter().isGone()).count();
    }
  }

  /**
   * Creates a client without tokens.
   *
   * @param self address of the own node
   * @param startedAt time of the start of the process
   * @param selection chooses the allocators
   * @param connected returns the addresses of the nodes with open connections
   * @param sender sends requests to allocators
   */
  public QuotaClient(
      String self,
      Duration startedAt,
      AllocatorSelection selection,
      Supplier<Set<String>> connected,
      Sender sender) {
    this.self = notNull(self, "self");
    this.startedAt = notNull(startedAt, "startedAt");
    this.selection = notNull(selection, "selection");
    this.connected = notNull(connected, "connected");
    this.sender = notNull(sender, "sender");
  }

  /**
   * Asks for a token for a request; the waiter is called at once or later.
   *
   * @param account account of the request
   * @param waiter is told the decision
   * @param now time now
   */
  public void acquire(String account, Waiter waiter, Duration now) {
    Stock stock = stocks.computeIfAbsent(account, Stock::new);
    stock.expire(now);
    stock.recordArrival(now);
    if (stock.waiting.isEmpty() && stock.take()) {
      waiter.onToken(new QuotaToken(account, now));
      return;
    }
    Duration maxWait = isStarting(now) ? MAX_WAIT_AT_START : MAX_WAIT;
    stock.waiting.add(new Waiting(waiter, now.plus(maxWait)));
    if (!stock.exhausted) {
      request(stock.group(selection), now);
    }
  }

  /**
   * Takes back the token of a request that has not run and will not run.
   *
   * @param token the token
   * @param now time now
   */
  public void giveBack(QuotaToken token, Duration now) {
    Stock stock = stocks.get(token.account());
    if (stock != null && now.minus(token.takenAt()).compareTo(RETURN_PERIOD) <= 0) {
      stock.returned++;
    }
  }

  /**
   * Sends the requests and votes that are due, and refuses what has waited too long.
   *
   * @param now time now
   */
  public void tick(Duration now) {
    for (Iterator<Stock> all = stocks.values().iterator(); all.hasNext(); ) {
      Stock stock = all.next();
      stock.expire(now);
      while (!stock.waiting.isEmpty() && now.compareTo(stock.waiting.peek().until()) >= 0) {
        refuse(stock.waiting.poll().waiter());
      }
      if (stock.waiting.isEmpty()
          && stock.released == 0
          && stock.returned == 0
          && now.minus(stock.rateAt).compareTo(ACCOUNT_IDLE_TIMEOUT) > 0) {
        all.remove();
      }
    }
    for (int group = 0; group < selection.groups(); group++) {
      Ballot ballot = ballots.computeIfAbsent(group, Ballot::new);
      Duration sinceSent = now.minus(ballot.sentAt);
      boolean needsTokens = sinceSent.compareTo(REQUEST_INTERVAL) >= 0 && wantsTokens(group, now);
      if (needsTokens || sinceSent.compareTo(VOTE_INTERVAL) >= 0) {
        request(group, now);
      }
    }
  }

  private boolean wantsTokens(int group, Duration now) {
    return stocks.values().stream()
        .anyMatch(stock -> stock.group(selection) == group && stock.wanted(now) > 0);
  }

  /** Sends a request to the allocator of a group unless an earlier one awaits its answer. */
  private void request(int group, Duration now) {
    Ballot ballot = ballots.computeIfAbsent(group, Ballot::new);
    if (ballot.awaitsAnswer && now.minus(ballot.sentAt).compareTo(ANSWER_TIMEOUT) < 0) {
      return;
    }
    Set<String> open = connected.get();
    String allocator = selection.choose(group, open);
    if (!allocator.equals(ballot.allocator)) {
      boolean reachable = open.contains(ballot.allocator) || ballot.allocator.equals(self);
      if (reachable && !ballot.leaving) {
        ballot.leaving = true;
        send(ballot, new QuotaRequest(self, nextNumber(), group, false, false, List.of()), now);
        return;
      }
      if (!ballot.allocator.isEmpty()) {
        ballot.countsElsewhereUntil = ballot.votedAt.plus(QuotaAllocator.MAX_VOTE_LIFETIME);
      }
      ballot.allocator = allocator;
    }
    ballot.leaving = false;
    boolean counts = now.compareTo(ballot.countsElsewhereUntil) >= 0;
    if (counts) {
      ballot.votedAt = now;
    }
    List<Need> needs = needs(group, now);
    send(ballot, new QuotaRequest(self, nextNumber(), group, counts, isStarting(now), needs), now);
  }

  private long nextNumber() {
    lastNumber++;
    return lastNumber;
  }

  private void send(Ballot ballot, QuotaRequest request, Duration now) {
    ballot.number = request.number();
    ballot.sentAt = now;
    ballot.awaitsAnswer = true;
    ballot.sent.values().removeIf(at -> isExpired(at, now));
    ballot.sent.put(request.number(), now);
    sender.send(ballot.allocator, request);
  }

  private List<Need> needs(int group, Duration now) {
    List<Need> needs = new ArrayList<>();
    for (Stock stock : stocks.values()) {
      if (stock.group(selection) != group) {
        continue;
      }
      stock.expire(now);
      stock.askedFor = stock.waitingNow();
      Need need =
          new Need(
              stock.account, stock.wanted(now), stock.askedFor, stock.released, stock.returned);
      if (need.wanted() > 0 || need.released() > 0 || need.returned() > 0) {
        needs.add(need);
        stock.released = 0;
        stock.returned = 0;
      }
    }
    return needs;
  }

  /**
   * Adds granted tokens and gives them to waiting requests. Tokens expire a fixed time after the
   * request for them, so that a grant that was held up adds nothing to later ones.
   *
   * @param number number of the request that is answered
   * @param grants the grants
   * @param now time now
   */
  public void onGrants(long number, List<QuotaGrant> grants, Duration now) {
    Ballot ballot =
        ballots.values().stream()
            .filter(candidate -> candidate.sent.containsKey(number))
            .findFirst()
            .orElse(null);
    if (ballot == null) {
      return; // the tokens have expired
    }
    final Duration askedAt = ballot.sent.remove(number);
    boolean newest = ballot.number == number;
    ballot.awaitsAnswer &= !newest;
    if (newest && ballot.leaving) {
      // the allocator before no longer counts the vote, so that it counts at the next one at once
      ballot.leaving = false;
      ballot.allocator = "";
      request(ballot.group, now);
      return;
    }
    Duration expiresAt = askedAt.plus(QuotaBounds.TOKEN_LIFETIME);
    for (QuotaGrant grant : grants) {
      Stock stock = stocks.computeIfAbsent(grant.account(), Stock::new);
      stock.exhausted = grant.exhausted();
      if (grant.tokens() > 0) {
        stock.batches.add(new Batch(new int[] {grant.tokens()}, expiresAt));
      }
      stock.expire(now);
      serveWaiting(stock, now);
      stock.askedFor = 0;
      if (stock.exhausted) {
        refuseWaiting(stock);
      }
    }
    askForLateWaiters(now);
  }

  private static void serveWaiting(Stock stock, Duration now) {
    while (!stock.waiting.isEmpty()) {
      Waiter waiter = stock.waiting.peek().waiter();
      if (waiter.isGone()) {
        stock.waiting.poll();
      } else if (stock.take()) {
        stock.waiting.poll();
        waiter.onToken(new QuotaToken(stock.account, now));
      } else {
        return;
      }
    }
  }

  private static void refuseWaiting(Stock stock) {
    List<Waiting> refused = List.copyOf(stock.waiting);
    stock.waiting.clear();
    refused.forEach(request -> refuse(request.waiter()));
  }

  private static void refuse(Waiter waiter) {
    if (!waiter.isGone()) {
      waiter.onRefused();
    }
  }

  private static boolean isExpired(Duration askedAt, Duration now) {
    return now.compareTo(askedAt.plus(QuotaBounds.TOKEN_LIFETIME)) >= 0;
  }

  /** Asks again for requests that arrived after the answered request was sent. */
  private void askForLateWaiters(Duration now) {
    Set<Integer> groups = new HashSet<>();
    for (Stock stock : stocks.values()) {
      if (!stock.waiting.isEmpty() && !stock.exhausted) {
        groups.add(stock.group(selection));
      }
    }
    groups.forEach(group -> request(group, now));
  }

  /** Returns the number of requests that wait for tokens. */
  public int waiting() {
    return stocks.values().stream().mapToInt(stock -> stock.waiting.size()).sum();
  }

  /**
   * Returns the allocator that this node votes for.
   *
   * @param group group of accounts
   * @return address of the node; empty text before the first vote
   */
  public String allocator(int group) {
    return ballots.containsKey(group) ? ballots.get(group).allocator : "";
  }

  private boolean isStarting(Duration now) {
    return age(now).compareTo(START_PERIOD) < 0;
  }

  private Duration age(Duration now) {
    return now.minus(startedAt);
  }
}
