package org.cuminlatch.cli.publish;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.cuminlatch.cli.publish.Publication.Entry;
import org.cuminlatch.core.config.Resource;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads a publication from a TOML file. */
public final class PublicationFile {

  private static final String TARGET_VERSION = "target-version";
  private static final String ROUTE = "route";
  private static final String MOVE = "move";
  private static final String ROUTE_REMOVAL = "route-removal";
  private static final Set<String> TABLES = Set.of(TARGET_VERSION, ROUTE, MOVE, ROUTE_REMOVAL);

  private final TomlTable root;
  private final Instant now;
  private final List<Entry> entries = new ArrayList<>();

  private PublicationFile(TomlTable root, Instant now) {
    this.root = root;
    this.now = now;
  }

  /**
   * Reads and checks a file.
   *
   * @param path the file
   * @param now the time that relative starts and deadlines count from
   * @return the publication: target versions, routes, moves, removals
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if the file
   *     cannot be read or something in it is wrong
   */
  public static Publication read(Path path, Instant now) {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw InvalidFile.because("file " + path + " cannot be read: " + e);
    }
    return parse(text, now);
  }

  /**
   * Parses and checks the text of a file.
   *
   * @param text the TOML text
   * @param now the time that relative starts and deadlines count from
   * @return the publication
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if something
   *     in it is wrong
   */
  public static Publication parse(String text, Instant now) {
    TomlParseResult result = Toml.parse(text);
    if (result.hasErrors()) {
      throw InvalidFile.because("file had no TOML: " + result.errors().get(0).toString());
    }
    return new PublicationFile(result, now).publication();
  }

  private Publication publication() {
    new TableReader("", root).allowOnly(TABLES);
    addAll(TARGET_VERSION, ResourceTables::targetVersion);
    addAll(ROUTE, ResourceTables::route);
    addAll(MOVE, table -> ResourceTables.move(table, now));
    addAll(ROUTE_REMOVAL, ResourceTables::routeRemoval);
    if (entries.isEmpty()) {
      throw InvalidFile.had("file", "nothing", "tables of " + TABLES.stream().sorted().toList());
    }
    return new Publication(entries);
  }

  private void addAll(String name, Function<TableReader, Resource> reader) {
    Object found = root.get(List.of(name));
    if (found == null) {
      return;
    }
    if (!(found instanceof TomlArray tables)
        || !tables.toList().stream().allMatch(TomlTable.class::isInstance)) {
      throw InvalidFile.had(name, found, "tables headed [[" + name + "]]");
    }
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < tables.size(); i++) {
      String key = name + "[" + (i + 1) + "]";
      TableReader table = new TableReader(key, tables.getTable(i));
      Resource resource = reader.apply(table);
      if (!seen.add(resource.name())) {
        throw InvalidFile.had(key, resource.name(), "a name that no other " + name + " has");
      }
      OptionalLong expected = table.wholeNumber(ResourceTables.EXPECT, 0, Long.MAX_VALUE);
      entries.add(new Entry(key, resource, expected));
    }
  }
}
