package loadbalancer.harness;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The direction of dependencies between the packages that carry requests. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = DoNotIncludeTests.class)
class DataPathArchitectureTest {
    /** Only {@code request} connects the client side with the server side. */
    @ArchTest
    static final ArchRule CLIENT_AND_UPSTREAM_DO_NOT_DEPEND_ON_REQUEST = noClasses()
            .that()
            .resideInAnyPackage("loadbalancer.client..", "loadbalancer.upstream..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("loadbalancer.request..", "loadbalancer.process..", "loadbalancer.admin..");

    @ArchTest
    static final ArchRule CLIENT_DOES_NOT_DEPEND_ON_UPSTREAM = noClasses()
            .that()
            .resideInAPackage("loadbalancer.client..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("loadbalancer.upstream..", "loadbalancer.discovery..");

    @ArchTest
    static final ArchRule UPSTREAM_DOES_NOT_DEPEND_ON_CLIENT = noClasses()
            .that()
            .resideInAPackage("loadbalancer.upstream..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("loadbalancer.client..");

    @ArchTest
    static final ArchRule TRANSFER_AND_HTTP_ARE_THE_LOWEST_LAYER = noClasses()
            .that()
            .resideInAnyPackage("loadbalancer.transfer..", "loadbalancer.http..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "loadbalancer.client..",
                    "loadbalancer.upstream..",
                    "loadbalancer.request..",
                    "loadbalancer.discovery..",
                    "loadbalancer.admin..",
                    "loadbalancer.config..",
                    "loadbalancer.policy..",
                    "loadbalancer.process..");

    @ArchTest
    static final ArchRule POLICY_DOES_NOT_DEPEND_ON_HTTP = noClasses()
            .that()
            .resideInAPackage("loadbalancer.policy..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("loadbalancer.http..");
}
