package org.cuminlatch.node.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;

/** Reads and checks the settings file of a node. */
public final class NodeSettingsReader {

  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_CONNECTIONS = 10_000;
  private static final int DEFAULT_CONNECTIONS = 130;
  private static final int DEFAULT_CROSS_REGION_BYTES_PER_SECOND = 250_000;
  private static final List<Integer> DEFAULT_SCHEMA_VERSIONS = List.of(1, 2);
  private static final int MAX_SCHEMA_VERSION = 1_000;
  private static final String EXPECTED_ADDRESS = "an address of the form host:port";

  private NodeSettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the TOML file
   * @return the settings
   * @throws CuminlatchException with {@code INVALID_SETTING} if the file is missing or a setting is
   *     unknown, missing, of the wrong type or out of range
   */
  public static NodeSettings read(Path file) {
    return settings(TomlSection.read(file));
  }

  /**
   * Reads settings from a string.
   *
   * @param toml content of a settings file
   * @return the settings
   * @throws CuminlatchException with {@code INVALID_SETTING} as {@link #read}
   */
  public static NodeSettings parse(String toml) {
    return settings(TomlSection.parse(toml));
  }

  private static NodeSettings settings(TomlSection root) {
    NodeSettings settings = settingsOf(root);
    root.rejectUnknownKeys();
    return settings;
  }

  private static NodeSettings settingsOf(TomlSection root) {
    String mesh = root.text("mesh");
    TomlSection instance = root.section("instance");
    TomlSection control = root.section("control");
    TomlSection calls = root.section("calls");
    TomlSection operator = root.section("operator");
    TomlSection log = root.section("log");
    NodeSettings settings =
        new NodeSettings(
            mesh,
            instance.text("name"),
            new Locality(instance.text("region"), instance.text("zone")),
            address(control, "listen"),
            control.list("seeds", Address::parse, EXPECTED_ADDRESS),
            address(calls, "listen"),
            address(calls, "http"),
            address(operator, "listen"),
            targetOf(root.section("target")),
            log.list("urls", NodeSettingsReader::httpUri, "an http address"),
            crossRegionBudget(calls),
            Set.copyOf(
                instance.integers(
                    "schema-versions", 1, MAX_SCHEMA_VERSION, DEFAULT_SCHEMA_VERSIONS)),
            layoutOf(operator));
    List.of(instance, control, calls, operator, log).forEach(TomlSection::rejectUnknownKeys);
    return settings;
  }

  private static NodeSettings.Target targetOf(TomlSection target) {
    NodeSettings.Target settings =
        new NodeSettings.Target(
            target.parsed("url", NodeSettingsReader::httpUri, "an http address"),
            target.text("service"),
            target.text("version"),
            target.integer("slots", 1, MAX_SLOTS),
            target.integer("connections", 1, MAX_CONNECTIONS, DEFAULT_CONNECTIONS));
    target.rejectUnknownKeys();
    return settings;
  }

  private static int crossRegionBudget(TomlSection calls) {
    return calls.integer(
        "cross-region-bytes-per-second",
        0,
        Integer.MAX_VALUE,
        DEFAULT_CROSS_REGION_BYTES_PER_SECOND);
  }

  private static NodeSettings.LogLayout layoutOf(TomlSection operator) {
    String layout = operator.oneOf("log-layout", Set.of("json", "text"), "json");
    return NodeSettings.LogLayout.valueOf(layout.toUpperCase(Locale.ROOT));
  }

  private static Address address(TomlSection section, String key) {
    return section.parsed(key, Address::parse, EXPECTED_ADDRESS);
  }

  private static URI httpUri(String text) {
    URI uri = URI.create(text);
    if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
      throw new IllegalArgumentException("uri must be an http address");
    }
    return uri;
  }
}
