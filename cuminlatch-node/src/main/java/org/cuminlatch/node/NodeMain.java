package org.cuminlatch.node;

import java.nio.file.Path;
import java.util.Locale;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.node.call.JdkHttpProperties;
import org.cuminlatch.node.settings.NodeSettings;
import org.cuminlatch.node.settings.NodeSettingsReader;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command-line entry point of the daemon. */
public final class NodeMain {

  private static final int EXIT_INVALID_INPUT = 2;

  @Option(name = "--settings", metaVar = "FILE", usage = "start the node with these settings")
  private Path settings;

  @Option(name = "--check-settings", metaVar = "FILE", usage = "check the settings and exit")
  private Path checkSettings;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private NodeMain() {}

  /**
   * Runs the daemon until it is terminated.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    NodeMain main = new NodeMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      main.run(parser);
    } catch (CmdLineException | CuminlatchException invalidInput) {
      System.err.println("cuminlatch-node: " + invalidInput.getMessage());
      System.exit(EXIT_INVALID_INPUT);
    }
  }

  private void run(CmdLineParser parser) {
    if (checkSettings != null) {
      NodeSettingsReader.read(checkSettings);
      System.out.println(checkSettings + ": settings are valid");
    } else if (settings != null) {
      start(NodeSettingsReader.read(settings));
    } else {
      System.out.println("usage: cuminlatch-node --settings FILE | --check-settings FILE");
      parser.printUsage(System.out);
      System.exit(help ? 0 : EXIT_INVALID_INPUT);
    }
  }

  private static void start(NodeSettings settings) {
    configureLibraries(settings);
    Node node = Node.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
  }

  /**
   * Sets system properties that libraries read only once; must run before their first class is
   * loaded.
   */
  private static void configureLibraries(NodeSettings settings) {
    String layout = settings.layout().name().toLowerCase(Locale.ROOT);
    System.setProperty("log4j2.configurationFile", "log4j2-" + layout + ".xml");
    JdkHttpProperties.configure();
  }
}
