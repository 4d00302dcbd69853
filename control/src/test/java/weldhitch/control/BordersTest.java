package weldhitch.control;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** What decides over many instances uses collections and maths alone. */
@AnalyzeClasses(packages = "weldhitch.control", importOptions = ImportOption.DoNotIncludeTests.class)
class BordersTest {
    @ArchTest
    static final ArchRule decisionsUseCollectionsAndMathsAlone = classes()
        .that().resideInAnyPackage("weldhitch.control.order..", "weldhitch.control.fleet..")
        .should().onlyDependOnClassesThat()
        .resideInAnyPackage("weldhitch.control.order..", "weldhitch.control.fleet..", "java.lang", "java.lang.invoke",
            "java.lang.runtime", "java.util", "java.util.function", "java.util.stream");

    @ArchTest
    static final ArchRule decisionsAskNoClockAndStartNoThread = noClasses()
        .that().resideInAnyPackage("weldhitch.control.order..", "weldhitch.control.fleet..")
        .should().dependOnClassesThat().haveFullyQualifiedName("java.lang.Thread")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Timer")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Date")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Random")
        .orShould().callMethod(System.class, "nanoTime")
        .orShould().callMethod(System.class, "currentTimeMillis")
        .orShould().callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule noCirclesBetweenPackages = slices().matching("weldhitch.control.(*)..").should().beFreeOfCycles();
}
