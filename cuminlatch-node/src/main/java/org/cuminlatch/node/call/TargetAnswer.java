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

/**
 * Answer of the target as it arrives; a short one is handed on in one piece.
 *
 * <p>Parts are asked for only while the caller's side has granted credit.
 */
final class TargetAnswer implements BodyHandler<Void>, BodySubscriber<Void> {

  static final int ONE_PIECE_BYTES = 16 * 1024;

  private static final int SERVICE_UNAVAILABLE = 503;

  private final String token;
  private final Listener listener;
  private final CompletableFuture<Void> body = new CompletableFuture<>();
  private final PartBuffer held = new PartBuffer();
  private ResponseInfo head;
  private long length;
  private Subscription subscription;
  private long credit;
  private boolean asked;
  private boolean headSent;
  private boolean shed;
  private volatile boolean crossed;

  TargetAnswer(String token, long credit, Listener listener) {
    this.token = token;
    this.credit = credit;
    this.listener = listener;
  }

  @Override
  public BodySubscriber<Void> apply(ResponseInfo info) {
    head = info;
    HttpHeaders headers = info.headers();
    length = headers.firstValueAsLong(CallHeaders.CONTENT_LENGTH).orElse(-1);
    shed =
        info.statusCode() == SERVICE_UNAVAILABLE
            && headers.firstValue(CallHeaders.NOT_RUN).map("true"::equals).orElse(false);
    crossed =
        headers.firstValue(CallHeaders.ATTEMPT).map(echo -> !echo.equals(token)).orElse(false);
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
  public void onSubscribe(Subscription given) {
    if (crossed) {
      given.cancel();
      listener.crossed();
      return;
    }
    synchronized (this) {
      subscription = given;
    }
    askIfAllowed();
  }

  /** Returns whether the target owes its head or bytes that there is credit for. */
  synchronized boolean isWaitingForTarget() {
    return subscription == null || asked;
  }

  /** Breaks the answer off and closes the connection to the target. */
  void stop() {
    Subscription stopped;
    synchronized (this) {
      stopped = subscription;
    }
    if (stopped != null) {
      stopped.cancel();
    }
  }

  /** Allows more bytes to be handed on. */
  void grant(int bytes) {
    synchronized (this) {
      credit += bytes;
    }
    askIfAllowed();
  }

  private void askIfAllowed() {
    Subscription asking;
    synchronized (this) {
      if (subscription == null || asked || credit <= 0) {
        return;
      }
      asked = true;
      asking = subscription;
    }
    asking.request(1);
  }

  @Override
  public void onNext(List<ByteBuffer> parts) {
    int size = parts.stream().mapToInt(ByteBuffer::remaining).sum();
    synchronized (this) {
      asked = false;
      credit -= size;
    }
    listener.progressed();
    if (!shed) {
      take(parts);
    }
    askIfAllowed();
  }

  private void take(List<ByteBuffer> parts) {
    if (headSent) {
      listener.part(PartBuffer.copy(parts));
      return;
    }
    held.add(parts);
    if (length < 0 || length > ONE_PIECE_BYTES) {
      headSent = true;
      listener.head(head, length, held.drain(), false);
    }
  }

  @Override
  public void onError(Throwable error) {
    body.completeExceptionally(error);
  }

  @Override
  public void onComplete() {
    if (shed) {
      listener.shed();
    } else if (headSent) {
      listener.end();
    } else {
      listener.head(head, length < 0 ? held.size() : length, held.drain(), true);
    }
    body.complete(null);
  }

  /** Takes the answer; called by one thread at a time. */
  interface Listener {

    void head(ResponseInfo head, long length, byte[] first, boolean last);

    void part(byte[] content);

    void end();

    void shed();

    void crossed();

    void progressed();
  }
}
