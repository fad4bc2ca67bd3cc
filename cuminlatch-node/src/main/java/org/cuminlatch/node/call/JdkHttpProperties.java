package org.cuminlatch.node.call;

/**
 * Sets system properties of the JDK's HTTP server and client. The JDK reads them once, when the
 * server or client is first used.
 */
public final class JdkHttpProperties {

  private static final String IDLE_CONNECTION_TIMEOUT_SECONDS = "20";

  private JdkHttpProperties() {}

  /** Sets the properties; must be called before the first server or client is created. */
  public static void configure() {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("jdk.httpclient.keepalive.timeout", IDLE_CONNECTION_TIMEOUT_SECONDS);
    disableAutomaticRetries();
  }

  /**
   * Disables the client's automatic retries: by default it repeats GET and HEAD itself if a pooled
   * connection turns out to be closed.
   */
  private static void disableAutomaticRetries() {
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
  }
}
