package loadbalancer.harness.baseline;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.jar.JarFile;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import loadbalancer.policy.Tenant;

/**
 * The decision module of another build, loaded from the jar of that build. The build must have the same
 * {@link Balancer} interface.
 */
public final class JarPolicy {
    private static final String PACKAGE = Balancer.class.getPackageName() + ".";
    private static final String MODULE = PACKAGE + "ServiceQBalancer";
    /** Types of the interface to the module: shared by both builds, never loaded from the jar. */
    private static final Set<String> INTERFACE = Stream.of(
                    Balancer.class,
                    BalancerActions.class,
                    BalancerSettings.class,
                    BalancerRequest.class,
                    AttemptOutcome.class,
                    AttemptResult.class,
                    LoadReport.class,
                    LoadReportField.class,
                    ListKind.class,
                    ServerEntry.class,
                    ServerState.class,
                    RequestClass.class,
                    Tenant.class,
                    Idempotency.class,
                    DeduplicationScope.class)
            .map(Class::getName)
            .collect(Collectors.toUnmodifiableSet());

    private JarPolicy() {}

    /** Creates a policy from a node's jar. Classes are read from the jar when they are first loaded. */
    public static Policy of(Path jar) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + ": is not an existing regular file");
        }
        Class<?> module;
        try {
            module = new Loader(jar).loadClass(MODULE);
        } catch (ClassNotFoundException e) {
            throw new IOException(jar + ": does not contain " + MODULE, e);
        }
        return (settings, seed, actions, servers) -> {
            try {
                return (Balancer) module.getConstructor(BalancerSettings.class, long.class, BalancerActions.class)
                        .newInstance(settings, seed, actions);
            } catch (InvocationTargetException e) {
                throw new IllegalStateException(jar + ": the constructor of the module failed", e.getCause());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(jar + ": the module does not have the expected constructor", e);
            }
        };
    }

    /** Loads the module's own classes from the jar, and all others by the class loader of this class. */
    private static final class Loader extends ClassLoader {
        private final Path jar;

        Loader(Path jar) {
            super(JarPolicy.class.getClassLoader());
            this.jar = jar;
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(PACKAGE) || INTERFACE.contains(name)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded != null ? loaded : define(name);
            }
        }

        private Class<?> define(String name) throws ClassNotFoundException {
            try (JarFile open = new JarFile(jar.toFile())) {
                ZipEntry entry = open.getEntry(name.replace('.', '/') + ".class");
                if (entry == null) {
                    throw new ClassNotFoundException(name);
                }
                try (InputStream in = open.getInputStream(entry)) {
                    byte[] bytes = in.readAllBytes();
                    return defineClass(name, bytes, 0, bytes.length);
                }
            } catch (IOException e) {
                throw new ClassNotFoundException(name, e);
            }
        }
    }
}
