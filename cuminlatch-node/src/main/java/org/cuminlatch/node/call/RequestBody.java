package org.cuminlatch.node.call;

import java.io.IOException;
import java.net.http.HttpRequest.BodyPublisher;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Flow.Subscriber;
import java.util.concurrent.Flow.Subscription;
import java.util.function.IntConsumer;

/** Body of a request that arrives in parts; grants credit as the target takes them. */
final class RequestBody implements BodyPublisher, Subscription {

  private final long contentLength;
  private final IntConsumer credit;
  private final Deque<ByteBuffer> parts = new ArrayDeque<>();
  private Subscriber<? super ByteBuffer> subscriber;
  private long demand;
  private boolean complete;
  private boolean done;
  private boolean emitting;

  RequestBody(long contentLength, IntConsumer credit) {
    this.contentLength = contentLength;
    this.credit = credit;
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
    emit();
  }

  /** Breaks the body off; the target sees its connection closed. */
  void fail() {
    Subscriber<? super ByteBuffer> taker;
    synchronized (this) {
      if (done) {
        return;
      }
      done = true;
      taker = subscriber;
    }
    if (taker != null) {
      taker.onError(new IOException("request body broken off"));
    }
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuffer> taker) {
    synchronized (this) {
      subscriber = taker;
    }
    taker.onSubscribe(this);
  }

  @Override
  public void request(long count) {
    synchronized (this) {
      demand += count;
    }
    emit();
  }

  @Override
  public synchronized void cancel() {
    done = true;
    parts.clear();
  }

  private void emit() {
    synchronized (this) {
      if (emitting || subscriber == null) {
        return;
      }
      emitting = true;
    }
    while (emitOne()) {
      Thread.onSpinWait();
    }
  }

  private boolean emitOne() {
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
    credit.accept(size);
    return true;
  }
}
