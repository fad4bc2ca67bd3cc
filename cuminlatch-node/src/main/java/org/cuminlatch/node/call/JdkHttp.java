package org.cuminlatch.node.call;

/** Properties of the JDK's HTTP server and client that are read once, when they are first used. */
public final class JdkHttp {

  private static final String IDLE_CONNECTION_SECONDS = "20";

  private JdkHttp() {}

  /** Sets the properties; must run before the first server or client is created. */
  public static void configure() {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("jdk.httpclient.keepalive.timeout", IDLE_CONNECTION_SECONDS);
    forbidSilentRetries();
  }

  /** The client would repeat GET and HEAD by itself when a pooled connection turns out closed. */
  private static void forbidSilentRetries() {
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
  }
}
