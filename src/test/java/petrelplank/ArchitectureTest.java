package petrelplank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Packages depend in one direction; modules that decide do no I/O, start no thread and read no clock. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("petrelplank");

    @Test
    void packagesHaveNoCycles() {
        slices().matching("petrelplank.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void decisionsDependOnNothingElse() {
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
    void modulesThatDecideNeitherBlockNorDoIoNorReadTheClock() {
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

    /** What {@code serve} loads knows nothing of reports, the emulator and their libraries. */
    @Test
    void serveDoesWithoutTools() {
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
     * A condition's timed wait that runs out just while it is signalled spins until the signalling thread goes on;
     * with one core, or a part of one, that thread may be the one that has to wait. Seen as a proxy that stood still.
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
