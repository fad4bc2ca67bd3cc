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

/** Reads a publication from a TOML file and checks it. */
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
   * @param now base of starts and deadlines that are given as durations
   * @return the publication, in the order target versions, routes, moves, route removals
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if the file
   *     cannot be read or is invalid
   */
  public static Publication read(Path path, Instant now) {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw PublicationErrors.invalid("file " + path + " cannot be read: " + e);
    }
    return parse(text, now);
  }

  /**
   * Parses and checks the text of a file.
   *
   * @param text the TOML text
   * @param now base of starts and deadlines that are given as durations
   * @return the publication
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if the text
   *     is invalid
   */
  public static Publication parse(String text, Instant now) {
    TomlParseResult result = Toml.parse(text);
    if (result.hasErrors()) {
      throw PublicationErrors.invalid("file: invalid TOML: " + result.errors().get(0).toString());
    }
    return new PublicationFile(result, now).readPublication();
  }

  private Publication readPublication() {
    new TableReader("", root).rejectUnknownKeys(TABLES);
    readTables(TARGET_VERSION, ResourceTables::targetVersion);
    readTables(ROUTE, ResourceTables::route);
    readTables(MOVE, table -> ResourceTables.move(table, now));
    readTables(ROUTE_REMOVAL, ResourceTables::routeRemoval);
    if (entries.isEmpty()) {
      throw PublicationErrors.unexpected(
          "file", "nothing", "at least one table of " + TABLES.stream().sorted().toList());
    }
    return new Publication(entries);
  }

  private void readTables(String name, Function<TableReader, Resource> reader) {
    Object found = root.get(List.of(name));
    if (found == null) {
      return;
    }
    if (!(found instanceof TomlArray tables)
        || !tables.toList().stream().allMatch(TomlTable.class::isInstance)) {
      throw PublicationErrors.unexpected(name, found, "tables with the header [[" + name + "]]");
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < tables.size(); i++) {
      String key = name + "[" + (i + 1) + "]";
      TableReader table = new TableReader(key, tables.getTable(i));
      Resource resource = reader.apply(table);
      if (!names.add(resource.name())) {
        throw PublicationErrors.unexpected(
            key, resource.name(), "a name that is unique within the " + name + " tables");
      }
      OptionalLong expectedVersion =
          table.integer(ResourceTables.EXPECTED_VERSION_KEY, 0, Long.MAX_VALUE);
      entries.add(new Entry(key, resource, expectedVersion));
    }
  }
}
