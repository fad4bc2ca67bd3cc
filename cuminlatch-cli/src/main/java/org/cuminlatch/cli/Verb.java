package org.cuminlatch.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The verbs of the tool. */
enum Verb {
  VALIDATE("validate", "check a file without appending anything", ValidateCommand::new),
  PUBLISH(
      "publish", "append the resources of a file and wait for the verdicts", PublishCommand::new),
  MOVE_STATUS("move status", "print the progress or the outcome of moves", MoveStatusCommand::new),
  MOVE_WATCH(
      "move watch", "print the progress of a move until it has an outcome", MoveWatchCommand::new),
  MOVE_STOP("move stop", "request that a move is stopped and rolled back", MoveStopCommand::new),
  ROUTES("routes", "list the routes and services in force", RoutesCommand::new),
  MEMBERS("members", "list the members of the mesh", MembersCommand::new),
  VERSIONS(
      "versions", "list the configuration version in force on each instance", VersionsCommand::new),
  EXPLAIN("explain", "show how a node would route a request", ExplainCommand::new),
  EXPLAIN_REQUEST(
      "explain-request",
      "show what happened to a request, from the event logs of the nodes",
      ExplainRequestCommand::new),
  REFUSALS("refusals", "list the refused records", RefusalsCommand::new),
  LOG_TAIL("log tail", "print the last records of the log", LogTailCommand::new);

  private final List<String> words;
  private final String summary;
  private final Supplier<Command> factory;

  Verb(String words, String summary, Supplier<Command> factory) {
    this.words = List.of(words.split(" "));
    this.summary = summary;
    this.factory = factory;
  }

  static Optional<Verb> find(List<String> arguments) {
    return Arrays.stream(values())
        .filter(verb -> arguments.size() >= verb.words.size())
        .filter(verb -> arguments.subList(0, verb.words.size()).equals(verb.words))
        .findFirst();
  }

  List<String> words() {
    return words;
  }

  String title() {
    return String.join(" ", words);
  }

  String summary() {
    return summary;
  }

  Command newCommand() {
    return factory.get();
  }
}
