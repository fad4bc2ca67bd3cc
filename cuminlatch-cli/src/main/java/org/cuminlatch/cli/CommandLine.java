package org.cuminlatch.cli;

import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/** Finds the verb, lets args4j read its options and runs it. */
final class CommandLine {

  private static final int USAGE_WIDTH = 100;
  private static final List<String> HELP = List.of("--help", "-h", "help");

  private final CommandContext context;

  CommandLine(CommandContext context) {
    this.context = context;
  }

  /**
   * Runs the tool.
   *
   * @param arguments the command line
   * @return the exit status
   */
  int run(String... arguments) {
    List<String> words = Arrays.asList(arguments);
    if (words.isEmpty() || HELP.contains(words.get(0))) {
      printOverview();
      return words.isEmpty() ? ExitStatus.INVALID_INPUT : ExitStatus.OK;
    }
    Optional<Verb> verb = Verb.of(words);
    if (verb.isEmpty()) {
      return fail(
          "verb had " + String.join(" ", words) + "; it wants one of those in cuminlatch --help");
    }
    List<String> options = words.subList(verb.get().words().size(), words.size());
    return run(verb.get(), options);
  }

  private int run(Verb verb, List<String> options) {
    Command command = verb.newCommand();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (options.stream().anyMatch(HELP::contains)) {
      printUsage(verb, parser);
      return ExitStatus.OK;
    }
    try {
      parser.parseArgument(options);
      return command.run(context);
    } catch (CmdLineException e) {
      return fail(e.getMessage() + ", see cuminlatch " + verb.title() + " --help");
    } catch (CuminlatchException e) {
      return fail(e);
    }
  }

  private int fail(String problem) {
    context.console().err().println("cuminlatch: " + problem);
    return ExitStatus.INVALID_INPUT;
  }

  private int fail(CuminlatchException e) {
    if (e.code() == ErrorCode.INVALID_SETTING || e.code() == ErrorCode.INVALID_RECORD) {
      return fail(e.getMessage());
    }
    context.console().err().println("cuminlatch: " + e);
    return e.code() == ErrorCode.RECORD_REFUSED ? ExitStatus.REFUSED : ExitStatus.UNAVAILABLE;
  }

  private void printOverview() {
    context.console().out().println("usage: cuminlatch VERB [OPTIONS], verbs are");
    for (Verb verb : Verb.values()) {
      context.console().out().printf("  %-12s %s%n", verb.title(), verb.summary());
    }
    context.console().out().println("cuminlatch VERB --help explains the options of a verb");
  }

  private void printUsage(Verb verb, CmdLineParser parser) {
    StringWriter arguments = new StringWriter();
    parser.printSingleLineUsage(arguments, null);
    context.console().out().println("usage: cuminlatch " + verb.title() + arguments);
    context.console().out().println(verb.summary());
    parser.printUsage(context.console().out(), null, OptionHandlerFilter.ALL);
  }
}
