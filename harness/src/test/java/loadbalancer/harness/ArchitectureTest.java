package loadbalancer.harness;

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
import loadbalancer.harness.fault.Fault;

/** What may know of what; that a module's jar holds nothing of those above it, the compiler sees to. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    private static final DescribedPredicate<JavaClass> CORES = DescribedPredicate.describe(
            "cores",
            c -> c.getPackageName().startsWith("loadbalancer.membership.core")
                    || c.getPackageName().equals("loadbalancer.policy"));

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
                    "loadbalancer.process..",
                    "loadbalancer.client..",
                    "loadbalancer.upstream..",
                    "loadbalancer.request..",
                    "loadbalancer.admin..",
                    "loadbalancer.config..",
                    "loadbalancer.discovery..",
                    "loadbalancer.transfer..",
                    "loadbalancer.common..",
                    "loadbalancer.http..",
                    "loadbalancer.settings..",
                    "loadbalancer.eventloop..",
                    "loadbalancer.net..",
                    "loadbalancer.simulator..",
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
            .definedBy("loadbalancer.harness.time..")
            .layer("history")
            .definedBy("loadbalancer.harness.history..")
            .layer("scenario")
            .definedBy("loadbalancer.harness.scenario..")
            .layer("check")
            .definedBy("loadbalancer.harness.check..")
            .layer("simulation")
            .definedBy("loadbalancer.harness.simulation..")
            .layer("fault")
            .definedBy("loadbalancer.harness.fault..")
            .layer("baseline")
            .definedBy("loadbalancer.harness.baseline..")
            .layer("run")
            .definedBy("loadbalancer.harness.run..")
            .whereLayer("run")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("fault")
            .mayOnlyBeAccessedByLayers("run")
            .whereLayer("baseline")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("simulation")
            .mayOnlyBeAccessedByLayers("fault", "baseline", "run")
            .whereLayer("check")
            .mayOnlyBeAccessedByLayers("run")
            .whereLayer("history")
            .mayOnlyBeAccessedByLayers("check", "simulation", "fault", "run");

    @ArchTest
    static final ArchRule NO_PACKAGES_IN_A_RING =
            slices().matching("loadbalancer.harness.(*)..").should().beFreeOfCycles();

    /** Virtual time is the only one: a run that looked at the clock could not be played again. */
    @ArchTest
    static final ArchRule THE_WORLD_HAS_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(
                    "loadbalancer.harness.simulation..",
                    "loadbalancer.harness.fault..",
                    "loadbalancer.harness.check..",
                    "loadbalancer.harness.baseline..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule FAULTS_ARE_SMALL_AND_NAMED_IN_ONE_PLACE =
            classes().that().implement(Fault.class).should().bePackagePrivate();
}
