package kitemux.rig;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import kitemux.rig.trouble.Trouble;

/** What may know of what; that a module's jar holds nothing of those above it, the compiler sees to. */
@AnalyzeClasses(packages = "kitemux", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    private static final DescribedPredicate<JavaClass> CORES = DescribedPredicate.describe(
            "cores",
            c -> c.getPackageName().startsWith("kitemux.core")
                    || c.getPackageName().equals("kitemux") && !c.getName().equals("kitemux.Main"));

    /** A core is told the time, its chance and all that happens; what it wants done it says. */
    @ArchTest
    static final ArchRule CORES_DO_NOT_REACH_OUT = noClasses()
            .that(CORES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..",
                    "java.nio..",
                    "java.io..",
                    "java.time..",
                    "java.util.concurrent..",
                    "java.lang.reflect..",
                    "io.netty..",
                    "kitemux.node..",
                    "kitemux.adapter..",
                    "org..",
                    "com..")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule THE_RIG_POINTS_ONE_WAY = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("time")
            .definedBy("kitemux.rig.time..")
            .layer("history")
            .definedBy("kitemux.rig.history..")
            .layer("scenario")
            .definedBy("kitemux.rig.scenario..")
            .layer("check")
            .definedBy("kitemux.rig.check..")
            .layer("world")
            .definedBy("kitemux.rig.world..")
            .layer("trouble")
            .definedBy("kitemux.rig.trouble..")
            .layer("baseline")
            .definedBy("kitemux.rig.baseline..")
            .layer("play")
            .definedBy("kitemux.rig.play..")
            .whereLayer("play")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("trouble")
            .mayOnlyBeAccessedByLayers("play")
            .whereLayer("baseline")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("world")
            .mayOnlyBeAccessedByLayers("trouble", "baseline", "play")
            .whereLayer("check")
            .mayOnlyBeAccessedByLayers("play")
            .whereLayer("history")
            .mayOnlyBeAccessedByLayers("check", "world", "trouble", "play");

    @ArchTest
    static final ArchRule NO_PACKAGES_IN_A_RING =
            slices().matching("kitemux.rig.(*)..").should().beFreeOfCycles();

    /** Virtual time is the only one: a run that looked at the clock could not be played again. */
    @ArchTest
    static final ArchRule THE_WORLD_HAS_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(
                    "kitemux.rig.world..", "kitemux.rig.trouble..", "kitemux.rig.check..", "kitemux.rig.baseline..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule TROUBLES_ARE_SMALL_AND_NAMED_IN_ONE_PLACE =
            classes().that().implement(Trouble.class).should().bePackagePrivate();
}
