package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The connections to a target")
class ConnectionLimitTests {

  private static final int SLOTS = 6;
  private static final int CALLS = 400;
  private static final int CONCURRENT_CALLS = 40;

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node node = mesh.add("a", SLOTS);

  @AfterEach
  void close() {
    mesh.close();
  }

  @Test
  void stayWithinLimitAndRunNoMoreRequestsThanSlotsUnderManyCalls() throws Exception {
    Set<Integer> connections = ConcurrentHashMap.newKeySet();
    AtomicInteger running = new AtomicInteger();
    AtomicInteger maxRunning = new AtomicInteger();
    node.target()
        .setBehaviour(
            exchange -> {
              connections.add(exchange.getRemoteAddress().getPort());
              maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
              exchange.getRequestBody().readAllBytes();
              running.decrementAndGet();
              ScriptedTarget.answer(exchange, 200, "ok");
            });
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(node.uri("/book"))
              .POST(HttpRequest.BodyPublishers.ofString("x"))
              .build();
      calls.add(mesh.client().sendAsync(request, BodyHandlers.ofString()));
      if (i >= CONCURRENT_CALLS) {
        calls.get(i - CONCURRENT_CALLS).get(20, TimeUnit.SECONDS);
      }
    }
    for (CompletableFuture<HttpResponse<String>> call : calls) {
      assertThat(call.get(20, TimeUnit.SECONDS).statusCode(), is(200));
    }

    assertThat(maxRunning.get(), lessThanOrEqualTo(SLOTS));
    assertThat(
        connections.size(), lessThanOrEqualTo(CallPathSettings.DEFAULT_MAX_TARGET_CONNECTIONS));
  }
}
