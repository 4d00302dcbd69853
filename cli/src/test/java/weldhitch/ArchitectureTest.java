package weldhitch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.PackageMatcher;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;

/** Architecture rules, checked by ArchUnit: which packages may depend on which. */
@AnalyzeClasses(packages = "weldhitch", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    /** Packages of deterministic code: without I/O, and with clock readings and random numbers passed in. */
    private static final String[] PURE_PACKAGES = {
        "weldhitch.decision..",
        "weldhitch.consensus",
        "weldhitch.rollout..",
        "weldhitch.capture.policy..",
        "weldhitch.replay.policy..",
        "weldhitch.client.policy..",
        "weldhitch.fleet.activation..",
        "weldhitch.fleet.locality..",
        "weldhitch.coordinator.core.."
    };

    @ArchTest
    static final ArchRule pureCodeDependsOnlyOnCollectionsAndMaths = classes()
            .that()
            .resideInAnyPackage(PURE_PACKAGES)
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "weldhitch.decision..",
                    "weldhitch.consensus",
                    "weldhitch.rollout..",
                    "weldhitch.capture.policy..",
                    "weldhitch.replay.policy..",
                    "weldhitch.client.policy..",
                    "weldhitch.fleet.activation..",
                    "weldhitch.fleet.error..",
                    "weldhitch.fleet.locality..",
                    "weldhitch.coordinator.core..",
                    "org.apache.commons.rng..",
                    "org.apache.commons.codec.digest..",
                    "java.nio.charset",
                    "java.lang",
                    "java.lang.invoke",
                    "java.lang.runtime",
                    "java.util",
                    "java.util.function",
                    "java.util.stream");

    @ArchTest
    static final ArchRule pureCodeReadsNoClockAndStartsNoThread = noClasses()
            .that()
            .resideInAnyPackage(PURE_PACKAGES)
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.Thread")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Timer")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Date")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random");

    /** Hash order may differ between runs, but snapshots and replays must not depend on it. */
    @ArchTest
    static final ArchRule balancerUsesNoHashOrderedCollections = noClasses()
            .that()
            .resideInAPackage("weldhitch.decision..")
            .should()
            .callConstructor(java.util.HashMap.class)
            .orShould()
            .callConstructor(java.util.HashSet.class)
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.SplittableRandom");

    @ArchTest
    static final ArchRule packagesAreFreeOfCycles =
            slices().matching("weldhitch.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule consensusDoesNotDependOnItsStorage = noClasses()
            .that()
            .resideInAPackage("weldhitch.consensus")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("weldhitch.consensus.durable..");

    @ArchTest
    static final ArchRule coordinatorPackagesAreFreeOfCycles =
            slices().matching("weldhitch.coordinator.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule decisionPackagesAreFreeOfCycles =
            slices().matching("weldhitch.decision.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule fleetPackagesAreFreeOfCycles =
            slices().matching("weldhitch.fleet.(*)..").should().beFreeOfCycles();

    /** Checks that each pattern matches a class, because a rule whose pattern matches none would check nothing. */
    @ArchTest
    static void everyPurePackageContainsClasses(JavaClasses classes) {
        for (String pattern : PURE_PACKAGES) {
            assertTrue(classes.stream().anyMatch(c -> PackageMatcher.of(pattern).matches(c.getPackageName())), pattern);
        }
    }

    /** A node loads Jackson's databind, its heavy part, only when a route configuration is given. */
    @ArchTest
    static final ArchRule nodesDoNotUseJacksonDatabind = noClasses()
            .that()
            .resideInAnyPackage("weldhitch.node..", "weldhitch.adapter..", "weldhitch.decision..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("com.fasterxml.jackson.databind..");

    /** Code that only tools need is neither loaded by a node nor on its class path. */
    @ArchTest
    static final ArchRule nodesDoNotDependOnReplay = noClasses()
            .that()
            .resideInAnyPackage(
                    "weldhitch.node..", "weldhitch.adapter..", "weldhitch.routeconfig..", "weldhitch.capture..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("weldhitch.replay..");

    @ArchTest
    static final ArchRule capturePackagesAreFreeOfCycles =
            slices().matching("weldhitch.capture.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule mainCodeDoesNotDependOnTestkit = noClasses()
            .that()
            .resideOutsideOfPackage("weldhitch.testkit..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("weldhitch.testkit..");

    /**
     * Requests pass through the classes of the node in one direction; responses come back through narrow
     * interfaces.
     */
    @ArchTest
    static final ArchRule nodeClassesAreFreeOfCycles = slices().assignedFrom(new SliceAssignment() {
                @Override
                public SliceIdentifier getIdentifierOf(JavaClass javaClass) {
                    String name = javaClass.getName().replaceFirst("\\$.*", "");
                    return name.startsWith("weldhitch.node.") ? SliceIdentifier.of(name) : SliceIdentifier.ignore();
                }

                @Override
                public String getDescription() {
                    return "classes of the node with their nested classes";
                }
            })
            .should()
            .beFreeOfCycles();
}
