package barleyspur.lab.fleet;

import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/** Makes wrong versions of decisions, so that checks are seen to fail. */
final class SourceMutation {

    private SourceMutation() {}

    /** Calls a check on the classes of {@code loader}; what it asserts in vain is thrown as it is. */
    static Object invokeCheck(ClassLoader loader, String type, String method, Class<?>[] types, Object... arguments)
            throws Exception {
        Class<?> checks = Class.forName("barleyspur.lab.fleet." + type, true, loader);
        Method check = checks.getDeclaredMethod(method, types);
        check.setAccessible(true);
        Object on = null;
        if (!Modifier.isStatic(check.getModifiers())) {
            var constructor = checks.getDeclaredConstructor();
            constructor.setAccessible(true);
            on = constructor.newInstance();
        }
        try {
            return check.invoke(on, arguments);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof AssertionError broken) {
                throw broken;
            }
            throw e;
        }
    }

    /** One package's decisions with one change, and all of the lab that plays them, beside the real ones. */
    static ClassLoader compile(Path folder, Path decisions, String changed, String file, String from, String to)
            throws IOException {
        Path classes = Files.createTempDirectory(folder, "classes");
        List<String> sources = new ArrayList<>();
        try (Stream<Path> all = Files.list(decisions)) {
            for (Path p : all.filter(p -> p.toString().endsWith(".java")).toList()) {
                String text = Files.readString(p);
                Path copy = classes.resolve(p.getFileName().toString());
                Files.writeString(copy, p.endsWith(file) ? text.replace(from, to) : text);
                sources.add(copy.toString());
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter said = new StringWriter();
        if (!compiler.getTask(
                        said,
                        null,
                        null,
                        List.of("-nowarn", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")),
                        null,
                        compiler.getStandardFileManager(null, null, null).getJavaFileObjectsFromStrings(sources))
                .call()) {
            throw new IllegalArgumentException("the wrong version does not compile: " + said);
        }
        List<URL> path = new ArrayList<>(List.of(classes.toUri().toURL()));
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.add(Path.of(entry).toUri().toURL());
        }
        return new URLClassLoader(path.toArray(URL[]::new), SourceMutation.class.getClassLoader()) {
            @Override
            protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                synchronized (getClassLoadingLock(name)) {
                    if (name.startsWith(changed) || name.startsWith("barleyspur.lab.fleet.")) {
                        Class<?> loaded = findLoadedClass(name);
                        return loaded != null ? loaded : findClass(name);
                    }
                    return super.loadClass(name, resolve);
                }
            }
        };
    }
}
