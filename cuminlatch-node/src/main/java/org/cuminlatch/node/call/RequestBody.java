package org.cuminlatch.node.call;

import java.io.IOException;
import java.net.http.HttpRequest.BodyPublisher;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Flow.Subscriber;
import java.util.concurrent.Flow.Subscription;
import java.util.function.IntConsumer;

/** Request body that arrives in parts; grants credit for a part once the target has taken it. */
final class RequestBody implements BodyPublisher, Subscription {

  private final long contentLength;
  private final IntConsumer creditGranter;
  private final Deque<ByteBuffer> parts = new ArrayDeque<>();
  private Subscriber<? super ByteBuffer> subscriber;
  private long demand;
  private boolean complete;
  private boolean done;
  private boolean emitting;

  RequestBody(long contentLength, IntConsumer creditGranter) {
    this.contentLength = contentLength;
    this.creditGranter = creditGranter;
  }

  @Override
  public long contentLength() {
    return contentLength;
  }

  void add(ByteBuffer part, boolean last) {
    synchronized (this) {
      if (part.hasRemaining()) {
        parts.add(part);
      }
      complete |= last;
    }
    emitAvailable();
  }

  /** Cancels the body; the client closes the connection to the target. */
  void fail() {
    Subscriber<? super ByteBuffer> failedSubscriber;
    synchronized (this) {
      if (done) {
        return;
      }
      done = true;
      failedSubscriber = subscriber;
    }
    if (failedSubscriber != null) {
      failedSubscriber.onError(
          new IOException("request body was cancelled before it was complete"));
    }
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuffer> newSubscriber) {
    synchronized (this) {
      subscriber = newSubscriber;
    }
    newSubscriber.onSubscribe(this);
  }

  @Override
  public void request(long count) {
    synchronized (this) {
      demand += count;
    }
    emitAvailable();
  }

  @Override
  public synchronized void cancel() {
    done = true;
    parts.clear();
  }

  private void emitAvailable() {
    synchronized (this) {
      if (emitting || subscriber == null) {
        return;
      }
      emitting = true;
    }
    while (emitNext()) {
      Thread.onSpinWait();
    }
  }

  private boolean emitNext() {
    ByteBuffer part = null;
    synchronized (this) {
      if (done) {
        emitting = false;
        return false;
      }
      if (!parts.isEmpty() && demand > 0) {
        part = parts.poll();
        demand--;
      } else if (parts.isEmpty() && complete) {
        done = true;
      } else {
        emitting = false;
        return false;
      }
    }
    if (part == null) {
      subscriber.onComplete();
      return false;
    }
    int size = part.remaining();
    subscriber.onNext(part);
    creditGranter.accept(size);
    return true;
  }
}
