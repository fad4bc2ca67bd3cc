package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A call path")
class CallPathTests {

  private final CallMesh mesh = new CallMesh();

  @AfterEach
  void close() {
    mesh.close();
  }

  @Nested
  class WithHealthyTargets {

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100, 16_384, 16_385, 65_536, 65_537, 1_000_000})
    void carriesWholeBodiesBothWays(int length) throws Exception {
      CallMesh.Node entry = mesh.add("a", 2);
      entry.announce(org.cuminlatch.core.membership.Member.Phase.STARTING);
      CallMesh.Node other = mesh.add("b", 2);
      other
          .target()
          .behave(
              exchange -> {
                String body = new String(exchange.getRequestBody().readAllBytes());
                ScriptedTarget.answer(exchange, 200, body);
              });
      String body = "x".repeat(length);

      HttpResponse<String> answer = mesh.post(entry, "/orders", body);

      assertThat(CallMesh.reason(answer), answer.statusCode(), is(200));
      assertThat(answer.body().length(), is(length));
      assertThat(other.target().runs(), is(1));
    }

    @Test
    void servesFromTheTargetBesideTheNode() throws Exception {
      CallMesh.Node entry = mesh.add("a", 2);

      HttpResponse<String> answer = mesh.get(entry, "/stock?crane=1");

      assertThat(answer.body(), is("ok"));
      assertThat(CallMesh.outcome(answer), is("answered"));
    }
  }
}
