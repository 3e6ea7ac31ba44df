package barleyspur.expect;

import barleyspur.decision.Director;
import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.Constructor;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/** Decision modules with one piece of their source changed, compiled beside the real one. */
final class Mutants {

    private static final Path SOURCES = Path.of("..", "decision", "src", "main", "java", "barleyspur", "decision");

    private Mutants() {}

    /** The module with {@code from}, which its file must hold exactly once, made into {@code to}. */
    static ScenarioSimulation.PolicyFactory mutant(Path folder, String file, String from, String to)
            throws IOException {
        Path sources = Files.createDirectories(folder.resolve("source"));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        List<String> arguments = new ArrayList<>(
                List.of("-nowarn", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        try (Stream<Path> all = Files.list(SOURCES)) {
            for (Path p : all.toList()) {
                String text = Files.readString(p);
                if (p.endsWith(file)) {
                    if (text.split(java.util.regex.Pattern.quote(from), -1).length != 2) {
                        throw new IllegalArgumentException(file + " does not hold this once: " + from);
                    }
                    text = text.replace(from, to);
                }
                // The interface stays the real one's, or the mutant could not be spoken to.
                if (!p.endsWith("Director.java")) {
                    Path copy = sources.resolve(p.getFileName().toString());
                    Files.writeString(copy, text);
                    arguments.add(copy.toString());
                }
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter said = new StringWriter();
        if (!compiler.getTask(
                        said,
                        null,
                        null,
                        arguments.subList(0, 5),
                        null,
                        compiler.getStandardFileManager(null, null, null)
                                .getJavaFileObjectsFromStrings(arguments.subList(5, arguments.size())))
                .call()) {
            throw new IllegalArgumentException("the mutant does not compile: " + said);
        }
        return maker(classes);
    }

    private static ScenarioSimulation.PolicyFactory maker(Path classes) throws IOException {
        URLClassLoader loader =
                new URLClassLoader(new URL[] {classes.toUri().toURL()}, Mutants.class.getClassLoader()) {
                    @Override
                    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                        boolean mutated = name.startsWith("barleyspur.decision.")
                                && !name.startsWith("barleyspur.decision.Director");
                        synchronized (getClassLoadingLock(name)) {
                            Class<?> loaded = findLoadedClass(name);
                            return loaded != null ? loaded : mutated ? findClass(name) : super.loadClass(name, resolve);
                        }
                    }
                };
        try {
            Constructor<?> made =
                    loader.loadClass("barleyspur.decision.Decide").getConstructor(Director.Settings.class, long.class);
            return (settings, seed) -> {
                try {
                    return (Director) made.newInstance(settings, seed);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            };
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
