package barleyspur.arch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependencies between the layers that the documentation defines: decision code has no I/O, the core doesn't
 * depend on protocols, and nothing depends on the commands.
 */
class LayersTest {

    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("barleyspur");

    /** Decision code and the checker use no I/O and neither the system clock nor a system random source. */
    @Test
    void decisionCodeIsPure() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "barleyspur.decision",
                        "barleyspur.expect",
                        "barleyspur.tier",
                        "barleyspur.lifecycle",
                        "barleyspur.reload",
                        "barleyspur.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "org.slf4j..",
                        "org.json..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Random")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(PRODUCTION_CLASSES);
    }

    /** The decision module depends only on the JDK. */
    @Test
    void decisionModuleDependsOnlyOnTheJdk() {
        classes()
                .that()
                .resideInAPackage("barleyspur.decision")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("barleyspur.decision", "java..")
                .check(PRODUCTION_CLASSES);
    }

    /** The core depends on no client or depot protocol, so that a second client protocol can use the same core. */
    @Test
    void coreDependsOnNoProtocol() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.doorman")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "barleyspur.front..",
                        "barleyspur.depot..",
                        "barleyspur.channel..",
                        "barleyspur.config..",
                        "barleyspur.expect..",
                        "barleyspur.cli..",
                        "io.netty.handler..")
                .check(PRODUCTION_CLASSES);
    }

    /** The checker depends neither on configuration files nor on commands. */
    @Test
    void checkerDependsOnNoFiles() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.expect")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.config..", "barleyspur.cli..", "barleyspur.doorman..", "barleyspur")
                .check(PRODUCTION_CLASSES);
    }

    /** Serving code doesn't depend on the checker, which only commands and an enabled expectation check use. */
    @Test
    void servingCodeDoesNotDependOnTheChecker() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "barleyspur",
                        "barleyspur.front..",
                        "barleyspur.depot..",
                        "barleyspur.channel..",
                        "barleyspur.transport..",
                        "barleyspur.sim..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.expect..", "com.bertramlabs..")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .haveSimpleName("Configuration")
                .or()
                .haveSimpleName("SettingsReader")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.expect..", "com.bertramlabs..")
                .check(PRODUCTION_CLASSES);
    }

    /** No other package depends on the commands. */
    @Test
    void nothingDependsOnTheCommands() {
        noClasses()
                .that()
                .resideOutsideOfPackage("barleyspur.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.cli")
                .check(PRODUCTION_CLASSES);
    }

    /** Membership decisions are independent of their transport, and routing decisions depend on neither. */
    @Test
    void fleetViewIsIndependent() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.fleet.net", "barleyspur.doorman..", "barleyspur.config..")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "barleyspur.fleet..", "barleyspur.budget.net", "barleyspur.cli", "barleyspur.config")
                .and()
                .doNotHaveSimpleName("DoormanServer")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.fleet..")
                .check(PRODUCTION_CLASSES);
    }

    /** The division of budgets is independent of the fleet view, of its transport and of routing. */
    @Test
    void budgetDivisionIsIndependent() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.budget")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "barleyspur.budget.net",
                        "barleyspur.fleet..",
                        "barleyspur.doorman..",
                        "barleyspur.config..",
                        "barleyspur.decision..")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages("barleyspur.budget..", "barleyspur.config")
                .and()
                .doNotHaveSimpleName("DoormanServer")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.budget..")
                .check(PRODUCTION_CLASSES);
    }
}
