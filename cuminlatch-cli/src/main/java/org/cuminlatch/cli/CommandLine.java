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

/** Selects the verb of a command line, parses its options with args4j and runs it. */
final class CommandLine {

  private static final int USAGE_WIDTH_CHARS = 100;
  private static final List<String> HELP_ARGUMENTS = List.of("--help", "-h", "help");

  private final CommandContext context;

  CommandLine(CommandContext context) {
    this.context = context;
  }

  /**
   * Parses and runs a command line.
   *
   * @param arguments the command line
   * @return the exit status
   */
  int run(String... arguments) {
    List<String> words = Arrays.asList(arguments);
    if (words.isEmpty() || HELP_ARGUMENTS.contains(words.get(0))) {
      printOverview();
      return words.isEmpty() ? ExitStatus.INVALID_INPUT : ExitStatus.OK;
    }
    Optional<Verb> verb = Verb.find(words);
    if (verb.isEmpty()) {
      return fail(
          "unknown verb "
              + String.join(" ", words)
              + ", see cuminlatch --help for the list of verbs");
    }
    List<String> options = words.subList(verb.get().words().size(), words.size());
    return run(verb.get(), options);
  }

  private int run(Verb verb, List<String> options) {
    Command command = verb.newCommand();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH_CHARS));
    if (options.stream().anyMatch(HELP_ARGUMENTS::contains)) {
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
    context.console().out().println("usage: cuminlatch VERB [OPTIONS], where VERB is one of");
    for (Verb verb : Verb.values()) {
      context.console().out().printf("  %-12s %s%n", verb.title(), verb.summary());
    }
    context.console().out().println("cuminlatch VERB --help lists the options of a verb");
  }

  private void printUsage(Verb verb, CmdLineParser parser) {
    StringWriter arguments = new StringWriter();
    parser.printSingleLineUsage(arguments, null);
    context.console().out().println("usage: cuminlatch " + verb.title() + arguments);
    context.console().out().println(verb.summary());
    parser.printUsage(context.console().out(), null, OptionHandlerFilter.ALL);
  }
}
