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

/** Compiles mutated versions of a package of the doorman, to verify that checks fail on them. */
final class SourceMutation {

    private SourceMutation() {}

    /** Calls a check on the classes of {@code loader}; an assertion error of the check is rethrown unchanged. */
    static Object invokeCheck(
            ClassLoader loader, String type, String method, Class<?>[] parameterTypes, Object... arguments)
            throws Exception {
        Class<?> checkClass = Class.forName("barleyspur.lab.fleet." + type, true, loader);
        Method check = checkClass.getDeclaredMethod(method, parameterTypes);
        check.setAccessible(true);
        Object instance = null;
        if (!Modifier.isStatic(check.getModifiers())) {
            var constructor = checkClass.getDeclaredConstructor();
            constructor.setAccessible(true);
            instance = constructor.newInstance();
        }
        try {
            return check.invoke(instance, arguments);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof AssertionError failed) {
                throw failed;
            }
            throw e;
        }
    }

    /**
     * Compiles the sources of a package with one text replaced. The returned class loader loads that package from the
     * mutated version and the lab's fleet package anew, so that the lab uses the mutated classes.
     *
     * @param sourceFolder the source directory of the package
     * @param classPrefix  the prefix of the class names of the package
     * @param file         the name of the source file to change
     * @param from         the text to replace
     * @param to           the replacement
     */
    static ClassLoader compile(Path folder, Path sourceFolder, String classPrefix, String file, String from, String to)
            throws IOException {
        Path classes = Files.createTempDirectory(folder, "classes");
        List<String> sources = new ArrayList<>();
        try (Stream<Path> all = Files.list(sourceFolder)) {
            for (Path source : all.filter(p -> p.toString().endsWith(".java")).toList()) {
                String text = Files.readString(source);
                Path copy = classes.resolve(source.getFileName().toString());
                Files.writeString(copy, source.endsWith(file) ? text.replace(from, to) : text);
                sources.add(copy.toString());
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter compilerOutput = new StringWriter();
        if (!compiler.getTask(
                        compilerOutput,
                        null,
                        null,
                        List.of("-nowarn", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")),
                        null,
                        compiler.getStandardFileManager(null, null, null).getJavaFileObjectsFromStrings(sources))
                .call()) {
            throw new IllegalArgumentException("the mutated version does not compile: " + compilerOutput);
        }
        List<URL> path = new ArrayList<>(List.of(classes.toUri().toURL()));
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.add(Path.of(entry).toUri().toURL());
        }
        return new URLClassLoader(path.toArray(URL[]::new), SourceMutation.class.getClassLoader()) {
            @Override
            protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                synchronized (getClassLoadingLock(name)) {
                    if (name.startsWith(classPrefix) || name.startsWith("barleyspur.lab.fleet.")) {
                        Class<?> loaded = findLoadedClass(name);
                        return loaded != null ? loaded : findClass(name);
                    }
                    return super.loadClass(name, resolve);
                }
            }
        };
    }
}
