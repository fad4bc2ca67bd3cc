package org.cuminlatch.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Verbs that read a node's operator pages")
class NodeVerbsTests {

  private static final String ROUTES =
      """
      {"version": 7, "new": 1,
       "routes": {"orders": {"name": "orders", "host": null, "pathPrefix": "/orders",
         "headers": {}, "service": "siparis", "limits": {"timeout": "PT10S", "maxAttempts": 3}}},
       "services": {"siparis": {"service": "siparis", "versions": ["v1"], "current": "v1"}},
       "resources": {"route/orders": {"version": 5, "versionInForce": 3}}}
      """;
  private static final String MOVE =
      """
      {"move": {"name": "m", "service": "siparis", "from": "v1", "to": "v2"},
       "outcome": %s}
      """;

  private final Map<String, Deque<String>> pages = new ConcurrentHashMap<>();
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private final ToolFixture tool = new ToolFixture();
  private HttpServer server;
  private String url;

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          requests.add(exchange.getRequestURI().toString());
          Deque<String> page = pages.get(exchange.getRequestURI().getPath());
          String answer = page.size() > 1 ? page.removeFirst() : page.getFirst();
          byte[] body = answer.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    url = "http://127.0.0.1:" + server.getAddress().getPort();
  }

  @AfterEach
  void stop() {
    server.stop(0);
  }

  @Test
  void routesListsRoutesAndServices() {
    setPage("/routes", ROUTES);
    assertThat(tool.run("routes", "--node", url), is(ExitStatus.OK));
    assertThat(tool.out(), containsString("configuration version 7"));
    assertThat(
        tool.out(),
        containsString("orders  5        3         -     /orders  -        siparis  PT10S"));
    assertThat(tool.out(), containsString("siparis  v1       v1"));
  }

  @Test
  void printsPageUnchangedAsJson() {
    setPage("/routes", ROUTES);
    tool.run("routes", "--node", url, "--json");
    assertThat(tool.out(), containsString("\"new\":1"));
  }

  @Test
  void membersListsMembers() {
    setPage(
        "/members",
        """
        [{"instance": "i1", "status": "ALIVE", "phase": "SERVING", "slots": 6,
          "locality": {"region": "ege", "zone": "izmir"}, "service": "siparis",
          "targetVersion": "v1", "schemaVersions": [1, 2], "configVersion": 7}]
        """);
    tool.run("members", "--node", url);
    assertThat(tool.out(), containsString("i1        ALIVE   SERVING  ege     izmir  siparis"));
  }

  @Test
  void versionsCountsInstancesForEachVersion() {
    setPage("/versions", "{\"i1\": 7, \"i2\": 7, \"i3\": 6}");
    tool.run("versions", "--node", url);
    assertThat(tool.out(), containsString("version 7 in force on 2"));
    assertThat(tool.out(), containsString("version 6 in force on 1"));
  }

  @Test
  void explainSendsHostPathMethodAndHeaders() {
    setPage("/explain", "{\"reason\": \"NO_ROUTE\", \"route\": null, \"configVersion\": 7}");
    assertThat(
        tool.run(
            "explain", "--node", url, "--path", "/a b", "--host", "h", "--header", "x-canary=1"),
        is(ExitStatus.OK));
    assertThat(requests, contains("/explain?host=h&path=%2Fa+b&method=GET&header.x-canary=1"));
    assertThat(tool.out(), containsString("NO_ROUTE"));
  }

  @Test
  void usesNextNodeIfOneIsUnreachable() throws IOException {
    HttpServer stopped =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    final String address = "http://127.0.0.1:" + stopped.getAddress().getPort();
    stopped.stop(0);
    setPage("/versions", "{\"i1\": 7}");
    assertThat(tool.run("versions", "--node", address + "," + url), is(ExitStatus.OK));
    assertThat(tool.run("versions", "--node", address), is(ExitStatus.UNAVAILABLE));
    assertThat(tool.err(), containsString("PEER_UNAVAILABLE"));
  }

  @Nested
  class WhenWatchingMove {

    private static final String OPEN_MOVE_PAGE =
        "{\"moves\": {\"m\": " + MOVE.formatted("null") + "}, \"progress\": [%s]}";

    @Test
    void printsChangesUntilMoveIsDone() {
      setPage(
          "/moves", "{\"moves\": {}}", stepPage(0), stepPage(0), stepPage(1), outcomePage("DONE"));
      assertThat(watch(), is(ExitStatus.OK));
      assertThat(
          tool.out().lines().map(line -> line.substring(line.indexOf("  m  ") + 5)).toList(),
          contains(
              "not known to the node yet",
              "step 1 of 3, share 0.05: soaks",
              "step 2 of 3, share 0.05: soaks",
              "DONE: by the figures"));
      assertThat(tool.sleeps.size(), is(4));
    }

    @Test
    void exitsWithItsOwnStatusAfterRollback() {
      setPage("/moves", stepPage(0), outcomePage("ROLLED_BACK"));
      assertThat(watch(), is(ExitStatus.ROLLED_BACK));
    }

    @Test
    void exitsAfterTimeout() {
      setPage("/moves", stepPage(0));
      assertThat(watch("--timeout-seconds", "5"), is(ExitStatus.UNAVAILABLE));
      assertThat(tool.sleeps.size(), is(5));
    }

    @Test
    void moveStatusPrintsProgressOfAllMoves() {
      setPage("/moves", stepPage(0));
      assertThat(tool.run("move", "status", "--node", url), is(ExitStatus.OK));
      assertThat(tool.out(), containsString("step 1 of 3, share 0.05: soaks"));
      assertThat(tool.run("move", "status", "none", "--node", url), is(ExitStatus.INVALID_INPUT));
    }

    private int watch(String... options) {
      List<String> arguments = new ArrayList<>(List.of("move", "watch", "m", "--node", url));
      arguments.addAll(List.of(options));
      return tool.run(arguments.toArray(new String[0]));
    }

    private String stepPage(int step) {
      return OPEN_MOVE_PAGE.formatted(
          "{\"move\": \"m\", \"step\": "
              + step
              + ", \"steps\": 3, \"share\": 0.05,"
              + " \"reason\": \"soaks\"}");
    }

    private String outcomePage(String result) {
      String outcome =
          "{\"name\": \"m\", \"result\": \"" + result + "\", \"reason\": \"by the figures\"}";
      return "{\"moves\": {\"m\": " + MOVE.formatted(outcome) + "}}";
    }
  }

  private void setPage(String path, String... answers) {
    pages.put(path, new ArrayDeque<>(List.of(answers)));
  }
}
