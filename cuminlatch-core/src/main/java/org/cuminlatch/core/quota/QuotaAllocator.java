package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cuminlatch.core.config.ClientAccount.Quota;
import org.cuminlatch.core.quota.QuotaRequest.Need;

/**
 * Grants tokens of the accounts' quotas to the nodes that vote for this node.
 *
 * <p>Each account has a token bucket. It fills at the share of the quota's rate that is the share
 * of the known nodes whose votes count here. As a vote counts at one allocator only, all allocators
 * together never fill faster than the quota, however the mesh is divided. Tokens that nodes hold
 * count against the capacity of the bucket, so that they add nothing to what the quota allows.
 *
 * <p>Used on one event loop; times are those of a clock that never goes back.
 */
public final class QuotaAllocator {

  /** Time after which a vote that was received counts no more: twice the interval of votes. */
  private static final Duration VOTE_LIFETIME = Duration.ofMillis(800);

  /** Interval at which votes that count no more are removed, as each removal visits all votes. */
  private static final Duration VOTE_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Time for which a vote may count after it was received. */
  static final Duration MAX_VOTE_LIFETIME = VOTE_LIFETIME.plus(VOTE_CHECK_INTERVAL);

  /** Time without requests after which the bucket of an account is forgotten. */
  private static final Duration BUCKET_IDLE_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Part of its share of the capacity that a node brings which has just started. It has used none
   * of it, but the others may have used all of theirs, so that restarts of a few nodes must add
   * little.
   */
  private static final double STARTED_PART = 0.5;

  /** Interval at which tokens that nodes have let expire unreported are forgotten. */
  private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(200);

  private final Function<String, Optional<Quota>> quotas;
  private final Map<String, Vote> votes = new HashMap<>();
  private final Map<String, Bucket> buckets = new HashMap<>();

  /**
   * Sum of the share over time in seconds, since votes have counted here without a break. A bucket
   * that is created late holds what it would have been filled by in that time.
   */
  private double shareSeconds;

  private Duration shareCountedAt = Duration.ZERO;

  private final Duration startedAt;

  /**
   * When nodes that had just started first voted here. They count only while this node has just
   * started itself: when a few nodes restart, the allocator of the others has a filled bucket.
   */
  private final Map<String, Duration> starts = new HashMap<>();

  private Duration votesExpiredAt = Duration.ZERO;
  private int countedVotes;
  private double share;
  private Duration lastBucketCheck = Duration.ZERO;

  private record Vote(Duration receivedAt, boolean counts) {}

  /**
   * Creates an allocator that nobody votes for.
   *
   * @param quotas returns the quota of an account by the configuration in force; empty if the
   *     account has none
   * @param startedAt time of the start of the process
   */
  public QuotaAllocator(Function<String, Optional<Quota>> quotas, Duration startedAt) {
    this.quotas = notNull(quotas, "quotas");
    this.startedAt = notNull(startedAt, "startedAt");
  }

  /**
   * Records the vote of a node and grants it tokens.
   *
   * @param request request of the node
   * @param knownNodes number of nodes of the mesh, this one included; at least 1
   * @param now time now
   * @return one grant for each need that asks for tokens
   */
  public List<QuotaGrant> handle(QuotaRequest request, int knownNodes, Duration now) {
    expireVotes(now);
    Vote vote = new Vote(now, request.counts());
    Vote before = votes.put(notNull(request, "request").node(), vote);
    countedVotes += (vote.counts() ? 1 : 0) - (before != null && before.counts() ? 1 : 0);
    updateShare(knownNodes, now);
    boolean starting = now.minus(startedAt).compareTo(QuotaClient.START_PERIOD) < 0;
    if (starting && request.counts() && request.started() && isFirstVote(request.node(), now)) {
      starts.put(request.node(), now);
      buckets.forEach((account, bucket) -> bucket.addStarted(account, knownNodes));
    }
    List<QuotaGrant> grants = new ArrayList<>(request.needs().size());
    for (Need need : request.needs()) {
      Bucket bucket =
          buckets.computeIfAbsent(need.account(), account -> newBucket(account, knownNodes, now));
      bucket.fill(need.account(), now);
      bucket.settle(request.node(), need);
      if (need.wanted() > 0) {
        grants.add(bucket.grant(request.node(), need, now));
      }
    }
    forgetIdle(now);
    return grants;
  }

  private boolean isFirstVote(String node, Duration now) {
    Duration start = starts.get(node);
    return start == null || now.minus(start).compareTo(QuotaBounds.PERIOD) > 0;
  }

  /** Returns the share of the known nodes whose votes counted at the last request. */
  public double share() {
    return share;
  }

  /** Returns the number of accounts whose buckets are kept. */
  public int accounts() {
    return buckets.size();
  }

  private void expireVotes(Duration now) {
    if (now.minus(votesExpiredAt).compareTo(VOTE_CHECK_INTERVAL) < 0) {
      return;
    }
    votesExpiredAt = now;
    for (Iterator<Vote> all = votes.values().iterator(); all.hasNext(); ) {
      Vote vote = all.next();
      if (now.compareTo(vote.receivedAt().plus(VOTE_LIFETIME)) > 0) {
        countedVotes -= vote.counts() ? 1 : 0;
        all.remove();
      }
    }
  }

  /** Fills the buckets at the share up to now, and then changes the share if votes have changed. */
  private void updateShare(int knownNodes, Duration now) {
    shareSeconds += share * QuotaBounds.seconds(now.minus(shareCountedAt));
    shareCountedAt = now;
    double newShare = Math.min(1, countedVotes / (double) Math.max(1, knownNodes));
    if (newShare != share) {
      buckets.forEach((account, bucket) -> bucket.fill(account, now));
      share = newShare;
    }
    if (share == 0) {
      shareSeconds = 0;
      starts.clear();
      buckets.clear();
    }
  }

  /** Returns a bucket with what an account has left that has asked for nothing here so far. */
  private Bucket newBucket(String account, int knownNodes, Duration now) {
    Bucket bucket = new Bucket(now);
    quotas
        .apply(account)
        .ifPresent(
            quota -> {
              double capacity = QuotaBounds.capacity(quota);
              double filled = shareSeconds * QuotaBounds.fillRate(quota);
              double unused = STARTED_PART * capacity * starts.size() / Math.max(1, knownNodes);
              bucket.level = Math.min(capacity * share, filled + unused);
            });
    return bucket;
  }

  private void forgetIdle(Duration now) {
    if (now.minus(lastBucketCheck).compareTo(BUCKET_IDLE_TIMEOUT) > 0) {
      lastBucketCheck = now;
      buckets
          .values()
          .removeIf(bucket -> now.minus(bucket.lastNeedAt).compareTo(BUCKET_IDLE_TIMEOUT) > 0);
    }
  }

  /** Tokens that a node holds, at most. */
  private static final class Holding {

    private int tokens;
    private Duration lastGrantAt = Duration.ZERO;
  }

  /** Token bucket of an account. */
  private final class Bucket {

    private final Map<String, Holding> holdings = new HashMap<>();
    private int held;
    private double level;
    private Duration filledAt;
    private Duration expiredAt;
    private Duration lastNeedAt;

    Bucket(Duration now) {
      filledAt = now;
      expiredAt = now;
      lastNeedAt = now;
    }

    void fill(String account, Duration now) {
      if (now.minus(expiredAt).compareTo(EXPIRY_INTERVAL) >= 0) {
        expire(now);
      }
      double seconds = QuotaBounds.seconds(now.minus(filledAt));
      filledAt = now;
      quotas
          .apply(account)
          .ifPresent(
              quota -> addUpToCapacity(quota, QuotaBounds.fillRate(quota) * share * seconds));
    }

    private void expire(Duration now) {
      expiredAt = now;
      for (Iterator<Holding> all = holdings.values().iterator(); all.hasNext(); ) {
        Holding holding = all.next();
        if (now.compareTo(holding.lastGrantAt.plus(QuotaBounds.TOKEN_LIFETIME)) > 0) {
          held -= holding.tokens;
          all.remove();
        }
      }
    }

    private void addUpToCapacity(Quota quota, double tokens) {
      double room = QuotaBounds.capacity(quota) * share - held;
      level = Math.max(0, Math.min(room, level + tokens));
    }

    void addStarted(String account, int knownNodes) {
      quotas
          .apply(account)
          .ifPresent(
              quota ->
                  addUpToCapacity(quota, STARTED_PART * QuotaBounds.capacity(quota) / knownNodes));
    }

    /** Records which of its tokens a node no longer holds, and takes back the unused ones. */
    void settle(String node, Need need) {
      Holding holding = holdings.get(node);
      if (holding != null) {
        int released = Math.min(need.released(), holding.tokens);
        holding.tokens -= released;
        held -= released;
      }
      quotas.apply(need.account()).ifPresent(quota -> addUpToCapacity(quota, need.returned()));
    }

    QuotaGrant grant(String node, Need need, Duration now) {
      lastNeedAt = now;
      if (quotas.apply(need.account()).isEmpty()) {
        return new QuotaGrant(need.account(), need.wanted(), false);
      }
      int tokens = (int) Math.min(need.wanted(), level);
      if (tokens > 0) {
        level -= tokens;
        int stock = Math.max(0, tokens - need.waiting());
        held += stock;
        Holding holding = holdings.computeIfAbsent(node, unused -> new Holding());
        holding.tokens += stock;
        holding.lastGrantAt = now;
      }
      return new QuotaGrant(need.account(), tokens, tokens < need.wanted());
    }
  }
}
