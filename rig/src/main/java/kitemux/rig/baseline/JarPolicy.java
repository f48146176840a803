package kitemux.rig.baseline;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarFile;
import java.util.zip.ZipEntry;
import kitemux.Balancer;
import kitemux.Balancer.Actions;
import kitemux.Balancer.Settings;
import kitemux.rig.world.Policy;

/**
 * The decision module of another build, which has to know the same {@link Balancer}: its classes come from
 * that jar.
 */
public final class JarPolicy {
    private static final String MODULE = "kitemux.ServiceQBalancer";

    private JarPolicy() {}

    /** Opens a node's jar; it is read once, whole, as classes are asked for. */
    public static Policy of(Path jar) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + ": there is no such file");
        }
        Class<?> module;
        try {
            module = new Loader(jar).loadClass(MODULE);
        } catch (ClassNotFoundException e) {
            throw new IOException(jar + ": has no " + MODULE, e);
        }
        return (settings, seed, actions, servers) -> {
            try {
                return (Balancer) module.getConstructor(Settings.class, long.class, Actions.class)
                        .newInstance(settings, seed, actions);
            } catch (InvocationTargetException e) {
                throw new IllegalStateException(jar + ": the module failed as it began", e.getCause());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(jar + ": the module is of another make", e);
            }
        };
    }

    /** Takes the module's own classes from the jar, and all else from where this class comes from. */
    private static final class Loader extends ClassLoader {
        private final Path jar;

        Loader(Path jar) {
            super(JarPolicy.class.getClassLoader());
            this.jar = jar;
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.equals(MODULE) && !name.startsWith(MODULE + "$")) {
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
