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

/** Rules for the dependencies of packages. Dependencies between modules are checked by the compiler. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    private static final DescribedPredicate<JavaClass> CORES = DescribedPredicate.describe(
            "cores",
            c -> c.getPackageName().startsWith("loadbalancer.membership.core")
                    || c.getPackageName().equals("loadbalancer.policy"));

    /**
     * A core receives the time, its random seed and all events as arguments, and requests actions through an interface.
     * It must do no I/O and must not read the clock.
     */
    @ArchTest
    static final ArchRule CORES_DO_NO_IO_AND_READ_NO_CLOCK = noClasses()
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
    static final ArchRule HARNESS_DEPENDS_IN_ONE_DIRECTION = layeredArchitecture()
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
    static final ArchRule HARNESS_HAS_NO_PACKAGE_CYCLES =
            slices().matching("loadbalancer.harness.(*)..").should().beFreeOfCycles();

    /** A simulated run uses virtual time only. A run that read the clock could not be repeated. */
    @ArchTest
    static final ArchRule SIMULATION_READS_NO_CLOCK = noClasses()
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
    static final ArchRule FAULTS_ARE_PACKAGE_PRIVATE =
            classes().that().implement(Fault.class).should().bePackagePrivate();
}
