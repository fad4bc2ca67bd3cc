package org.cuminlatch.bench.call;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;

/** Program that runs one {@link BenchNode} until its standard input ends. */
final class BenchNodeMain {

  private static final int SLOTS = 15;

  private BenchNodeMain() {}

  /**
   * Runs a node and prints its port for callers and its port for forwarded calls.
   *
   * @param arguments base URI of the target, followed by the port of the node to forward calls to,
   *     if any
   * @throws IOException if standard input cannot be read
   */
  public static void main(String[] arguments) throws IOException {
    AtomicReference<List<Member>> members = new AtomicReference<>(List.of());
    boolean forwards = arguments.length > 1;
    String instance = forwards ? "entry" : "beside";
    try (BenchNode node = new BenchNode(instance, URI.create(arguments[0]), SLOTS, members)) {
      Address targetNodeAddress =
          forwards
              ? new Address("127.0.0.1", Integer.parseInt(arguments[1]))
              : node.member().callAddress();
      members.set(List.of(BenchNode.servingMember("beside", targetNodeAddress, SLOTS)));
      System.out.println(node.uri().getPort() + " " + node.member().callAddress().port());
      System.in.read();
    }
    System.exit(0);
  }
}
