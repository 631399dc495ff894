package petrelplank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Packages have no cyclic dependencies; decision modules do no I/O, start no threads and read no clock. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("petrelplank");

    @Test
    void packagesHaveNoCycles() {
        slices().matching("petrelplank.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void decisionModulesDependOnNoOtherParts() {
        noClasses()
                .that()
                .resideInAnyPackage("..routing..", "..discovery.backoff..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "petrelplank.proxy..",
                        "petrelplank.fastcgi..",
                        "petrelplank.upstream..",
                        "petrelplank.record..",
                        "petrelplank.cli..",
                        "petrelplank.discovery",
                        "petrelplank.transport..",
                        "petrelplank.settings..",
                        "petrelplank.simulator..",
                        "petrelplank.emulator..",
                        "petrelplank.analysis..",
                        "petrelplank.report..",
                        "petrelplank.yaml..",
                        "java.io..",
                        "java.net..",
                        "java.nio..")
                .check(CLASSES);
    }

    @Test
    void decisionModulesDoNotBlockDoIoOrReadTheClock() {
        noClasses()
                .that()
                .resideInAnyPackage("..routing..", "..discovery.backoff..", "..analysis..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.net..", "java.nio..", "java.util.concurrent..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..routing..", "..discovery.backoff..", "..analysis..", "..emulator..", "..proxy..", "..yaml..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage("..routing..", "..discovery.backoff..", "..analysis..", "..emulator..")
                .should()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }

    /** The classes that {@code serve} loads do not depend on reports, the emulator and their libraries. */
    @Test
    void serveDoesNotDependOnOfflineTools() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..proxy..", "..fastcgi..", "..upstream..", "..discovery..", "..settings..", "..transport..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "petrelplank.analysis..",
                        "petrelplank.emulator..",
                        "petrelplank.report..",
                        "org.apache.avro..",
                        "org.jfree..",
                        "com.fasterxml.jackson.databind..")
                .check(CLASSES);
    }

    /**
     * A timed wait on a condition that times out while it is being signalled spins until the signalling thread
     * continues. With one core or less, the spinning thread may keep that thread from running; a proxy hung this way.
     */
    @Test
    void noClassWaitsOnAConditionWithATimeout() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(java.util.concurrent.locks.Condition.class)
                .check(CLASSES);
    }
}
