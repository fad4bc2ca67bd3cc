package org.cuminlatch.node.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records how a request of an {@link HttpClient} ends. */
class RequestEnd implements UploadListener {

  private final CompletableFuture<Object> end = new CompletableFuture<>();

  @Override
  public void onOpened() {
    // a test that streams a request starts it here or by itself
  }

  @Override
  public void onResponse(ClientResponse response) {
    end.complete(response);
  }

  @Override
  public void onFailure(Failure failure) {
    end.complete(failure);
  }

  /** Waits for the {@link ClientResponse} or the {@link ClientListener.Failure}. */
  Object await(int seconds) throws Exception {
    return end.get(seconds, TimeUnit.SECONDS);
  }
}
