package barleyspur.arch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The layers that docs and README name: what decides has no I/O, the core knows no protocol, nobody knows the top. */
class LayersTest {

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("barleyspur");

    /** Guards: decisions and the checker have no I/O, clock or random source of the system's. */
    @Test
    void whatDecidesIsPure() {
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
                .check(ALL);
    }

    /** Guards: the decision module stands alone. */
    @Test
    void decisionsKnowNobody() {
        classes()
                .that()
                .resideInAPackage("barleyspur.decision")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("barleyspur.decision", "java..")
                .check(ALL);
    }

    /** Guards: the core knows neither fronts nor depots' protocol, so that a second front goes through the same. */
    @Test
    void theCoreKnowsNoProtocol() {
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
                .check(ALL);
    }

    /** Guards: the checker knows neither configuration files nor commands. */
    @Test
    void theCheckerKnowsNoFiles() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.expect")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.config..", "barleyspur.cli..", "barleyspur.doorman..", "barleyspur")
                .check(ALL);
    }

    /** Guards: what serves has none of the checker: it is reached from the commands and from a gate that is set. */
    @Test
    void serveIsFreeOfTheChecker() {
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
                .check(ALL);
        noClasses()
                .that()
                .haveSimpleName("Configuration")
                .or()
                .haveSimpleName("SettingsReader")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.expect..", "com.bertramlabs..")
                .check(ALL);
    }

    /** Guards: nobody depends on the commands. */
    @Test
    void commandsAreTheTop() {
        noClasses()
                .that()
                .resideOutsideOfPackage("barleyspur.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.cli")
                .check(ALL);
    }

    /** Guards: who is there is decided apart from how it is carried, and decisions of routing know neither. */
    @Test
    void theFleetViewKnowsNobody() {
        noClasses()
                .that()
                .resideInAPackage("barleyspur.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("barleyspur.fleet.net", "barleyspur.doorman..", "barleyspur.config..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "barleyspur.fleet..", "barleyspur.budget.net", "barleyspur.cli", "barleyspur.config")
                .and()
                .doNotHaveSimpleName("DoormanServer")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.fleet..")
                .check(ALL);
    }

    /** Guards: what is divided is decided apart from the view, from how it is carried and from routing. */
    @Test
    void theDivisionKnowsNobody() {
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
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("barleyspur.budget..", "barleyspur.config")
                .and()
                .doNotHaveSimpleName("DoormanServer")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("barleyspur.budget..")
                .check(ALL);
    }
}
