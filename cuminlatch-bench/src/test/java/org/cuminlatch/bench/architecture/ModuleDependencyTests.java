package org.cuminlatch.bench.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("Module dependencies")
class ModuleDependencyTests {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.cuminlatch");

  @ParameterizedTest(name = "{0} does not use {1}")
  @CsvSource({
    "core, wire",
    "core, node",
    "core, cli",
    "core, testkit",
    "core, bench",
    "wire, node",
    "wire, cli",
    "wire, testkit",
    "wire, bench",
    "node, cli",
    "node, testkit",
    "node, bench",
    "cli, node",
    "cli, testkit",
    "cli, bench",
    "testkit, node",
    "testkit, cli",
    "testkit, bench"
  })
  void moduleDoesNotDependOnOther(String module, String other) {
    noClasses()
        .that()
        .resideInAPackage("org.cuminlatch." + module + "..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.cuminlatch." + other + "..")
        .check(CLASSES);
  }

  @Nested
  class Core {

    @Test
    void performsNoInputOrOutput() {
      noClasses()
          .that()
          .resideInAPackage("org.cuminlatch.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "io.netty..",
              "com.google.protobuf..",
              "org.apache.logging..")
          .check(CLASSES);
    }

    @Test
    void startsNoThread() {
      noClasses()
          .that()
          .resideInAPackage("org.cuminlatch.core..")
          .should()
          .dependOnClassesThat()
          .areAssignableTo(java.util.concurrent.Executor.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .check(CLASSES);
    }

    @Test
    void readsNoClock() {
      noClasses()
          .that()
          .resideInAPackage("org.cuminlatch.core..")
          .should()
          .callMethod(Instant.class, "now")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Clock.class, "systemUTC")
          .check(CLASSES);
    }
  }
}
