package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
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

/** Compiles mutants of the decision module: copies with one piece of their source replaced. */
final class Mutants {

    private static final Path SOURCES = Path.of("..", "decision", "src", "main", "java", "barleyspur", "decision");

    private Mutants() {}

    /** Returns the module with {@code from}, which its file must hold exactly once, replaced by {@code to}. */
    static ScenarioSimulation.PolicyFactory mutant(Path folder, String file, String from, String to)
            throws IOException {
        Path sources = Files.createDirectories(folder.resolve("source"));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        List<String> arguments = new ArrayList<>(
                List.of("-nowarn", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        try (Stream<Path> all = Files.list(SOURCES)) {
            for (Path source : all.toList()) {
                String text = Files.readString(source);
                if (source.endsWith(file)) {
                    if (text.split(java.util.regex.Pattern.quote(from), -1).length != 2) {
                        throw new IllegalArgumentException(file + " does not hold this exactly once: " + from);
                    }
                    text = text.replace(from, to);
                }
                // The mutant shares the interface with the real module, so that both can be called in the same way.
                if (!source.endsWith("RoutingPolicy.java")) {
                    Path copy = sources.resolve(source.getFileName().toString());
                    Files.writeString(copy, text);
                    arguments.add(copy.toString());
                }
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter compilerOutput = new StringWriter();
        if (!compiler.getTask(
                        compilerOutput,
                        null,
                        null,
                        arguments.subList(0, 5),
                        null,
                        compiler.getStandardFileManager(null, null, null)
                                .getJavaFileObjectsFromStrings(arguments.subList(5, arguments.size())))
                .call()) {
            throw new IllegalArgumentException("the mutant does not compile: " + compilerOutput);
        }
        return maker(classes);
    }

    private static ScenarioSimulation.PolicyFactory maker(Path classes) throws IOException {
        URLClassLoader loader =
                new URLClassLoader(new URL[] {classes.toUri().toURL()}, Mutants.class.getClassLoader()) {
                    @Override
                    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                        boolean mutated = name.startsWith("barleyspur.decision.")
                                && !name.startsWith("barleyspur.decision.RoutingPolicy");
                        synchronized (getClassLoadingLock(name)) {
                            Class<?> loaded = findLoadedClass(name);
                            return loaded != null ? loaded : mutated ? findClass(name) : super.loadClass(name, resolve);
                        }
                    }
                };
        try {
            Constructor<?> constructor = loader.loadClass("barleyspur.decision.LeastRecentlyLostPolicy")
                    .getConstructor(RoutingPolicy.Settings.class, long.class);
            return (settings, seed) -> {
                try {
                    return (RoutingPolicy) constructor.newInstance(settings, seed);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            };
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
