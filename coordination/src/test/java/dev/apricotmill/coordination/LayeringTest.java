package dev.apricotmill.coordination;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import java.time.Instant;

@AnalyzeClasses(
    packages = "dev.apricotmill.coordination",
    importOptions = ImportOption.DoNotIncludeTests.class)
final class LayeringTest {

  @ArchTest
  void theLibraryDependsOnNoTransportAndNoEngine(JavaClasses library) {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "org.apache.hc..",
            "java.net.http..",
            "com.google.protobuf..",
            "dev.apricotmill.core..",
            "dev.apricotmill.protocol..",
            "dev.apricotmill.node..",
            "dev.apricotmill.adapters..",
            "dev.apricotmill.daemon..")
        .check(library);
  }

  @ArchTest
  void theLibraryDependsOnlyOnAllowedLibraries(JavaClasses library) {
    classes()
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dev.apricotmill.coordination..",
            "java..",
            "com.google.common..",
            "com.google.errorprone.annotations..",
            "com.fasterxml.jackson..",
            "org.jspecify..")
        .check(library);
  }

  @ArchTest
  void theLibraryReadsOnlyInjectedClocks(JavaClasses library) {
    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(Instant.class, "now")
        .orShould()
        .callMethod(Thread.class, "sleep", long.class)
        .check(library);
  }
}
