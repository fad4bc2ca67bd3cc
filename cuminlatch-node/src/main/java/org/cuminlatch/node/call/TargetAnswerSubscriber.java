package org.cuminlatch.node.call;

import java.net.http.HttpHeaders;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow.Subscription;
import org.cuminlatch.node.http.ResponseStatus;

/**
 * Receives the target's answer and passes it to a {@link Listener}; a short answer is passed in one
 * piece.
 *
 * <p>Parts are requested from the client only while there is credit from the entry node.
 */
final class TargetAnswerSubscriber implements BodyHandler<Void>, BodySubscriber<Void> {

  static final int MAX_ONE_PIECE_BYTES = 16 * 1024;

  private static final int SERVICE_UNAVAILABLE = 503;

  private final String expectedToken;
  private final Listener listener;
  private final CompletableFuture<Void> body = new CompletableFuture<>();
  private final ByteAccumulator buffered = new ByteAccumulator();
  private ResponseInfo head;
  private long length;
  private Subscription subscription;
  private long credit;
  private boolean requested;
  private boolean headPassed;
  private boolean shed;
  private boolean invalid;
  private volatile boolean crossed;

  TargetAnswerSubscriber(String expectedToken, long credit, Listener listener) {
    this.expectedToken = expectedToken;
    this.credit = credit;
    this.listener = listener;
  }

  @Override
  public BodySubscriber<Void> apply(ResponseInfo info) {
    head = info;
    HttpHeaders headers = info.headers();
    length = headers.firstValueAsLong(CallHeaders.CONTENT_LENGTH).orElse(-1);
    invalid = !ResponseStatus.isFinal(info.statusCode());
    shed =
        info.statusCode() == SERVICE_UNAVAILABLE
            && headers.firstValue(CallHeaders.NOT_RUN).map("true"::equals).orElse(false);
    crossed =
        headers
            .firstValue(CallHeaders.ATTEMPT)
            .map(echoedToken -> !echoedToken.equals(expectedToken))
            .orElse(false);
    return this;
  }

  boolean isCrossed() {
    return crossed;
  }

  @Override
  public CompletionStage<Void> getBody() {
    return body;
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    if (crossed) {
      newSubscription.cancel();
      listener.onCrossed();
      return;
    }
    if (invalid) {
      newSubscription.cancel();
      listener.onInvalidStatus(head.statusCode());
      return;
    }
    synchronized (this) {
      subscription = newSubscription;
    }
    requestIfCredit();
  }

  /** Returns whether the answer's head, or bytes that there is credit for, are outstanding. */
  synchronized boolean isWaitingForTarget() {
    return subscription == null || requested;
  }

  /** Cancels the answer and closes the connection to the target. */
  void stop() {
    Subscription cancelled;
    synchronized (this) {
      cancelled = subscription;
    }
    if (cancelled != null) {
      cancelled.cancel();
    }
  }

  /** Adds credit for bytes that may be passed on. */
  void addCredit(int bytes) {
    synchronized (this) {
      credit += bytes;
    }
    requestIfCredit();
  }

  private void requestIfCredit() {
    Subscription currentSubscription;
    synchronized (this) {
      if (subscription == null || requested || credit <= 0) {
        return;
      }
      requested = true;
      currentSubscription = subscription;
    }
    currentSubscription.request(1);
  }

  @Override
  public void onNext(List<ByteBuffer> parts) {
    int size = parts.stream().mapToInt(ByteBuffer::remaining).sum();
    synchronized (this) {
      requested = false;
      credit -= size;
    }
    listener.onProgress();
    if (!shed) {
      pass(parts);
    }
    requestIfCredit();
  }

  private void pass(List<ByteBuffer> parts) {
    if (headPassed) {
      listener.onPart(ByteAccumulator.copy(parts));
      return;
    }
    buffered.add(parts);
    if (length < 0 || length > MAX_ONE_PIECE_BYTES) {
      headPassed = true;
      listener.onHead(head, length, buffered.removeAll(), false);
    }
  }

  @Override
  public void onError(Throwable error) {
    body.completeExceptionally(error);
  }

  @Override
  public void onComplete() {
    if (shed) {
      listener.onShed();
    } else if (headPassed) {
      listener.onEnd();
    } else {
      listener.onHead(head, length < 0 ? buffered.size() : length, buffered.removeAll(), true);
    }
    body.complete(null);
  }

  /**
   * Receives the answer; called by one thread at a time.
   *
   * <p>An answer is crossed if it echoes the token of another attempt, and shed if the target
   * refused the request before running it.
   */
  interface Listener {

    void onHead(ResponseInfo head, long length, byte[] first, boolean last);

    void onPart(byte[] content);

    void onEnd();

    void onShed();

    void onCrossed();

    /** Called instead of all others if the status is not that of a final response. */
    void onInvalidStatus(int status);

    void onProgress();
  }
}
