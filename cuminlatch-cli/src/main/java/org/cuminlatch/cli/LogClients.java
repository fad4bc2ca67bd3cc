package org.cuminlatch.cli;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.log.HttpLogClient;
import org.cuminlatch.wire.log.LogClient;

/** Creates clients of the platform's log from the addresses in the options of a verb. */
final class LogClients {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private LogClients() {}

  /**
   * Creates a client of the log.
   *
   * @param addresses one or more addresses, separated by commas
   * @return the client
   * @throws CuminlatchException with {@code INVALID_SETTING} if an address is not of the form
   *     {@code http://host:port}
   */
  static LogClient connect(String addresses) {
    List<URI> uris = new ArrayList<>();
    for (String address : addresses.split(",")) {
      uris.add(httpAddress("--log", address.trim()));
    }
    return HttpLogClient.create(uris, REQUEST_TIMEOUT);
  }

  static URI httpAddress(String option, String address) {
    try {
      URI uri = URI.create(address);
      if ("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
        return uri;
      }
    } catch (IllegalArgumentException e) {
      throw invalidAddress(option, address);
    }
    throw invalidAddress(option, address);
  }

  /**
   * Waits for an answer of the log.
   *
   * @param answer the pending answer
   * @param <T> type of the answer
   * @return the answer
   * @throws CuminlatchException if the request to the log failed
   */
  static <T> T await(CompletableFuture<T> answer) {
    try {
      return answer.join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof CuminlatchException cause) {
        throw cause;
      }
      throw e;
    }
  }

  private static CuminlatchException invalidAddress(String option, String address) {
    return CuminlatchException.of(
        ErrorCode.INVALID_SETTING,
        Step.SETTINGS,
        option + ": found " + address + ", expected http://host:port");
  }
}
