package barleyspur.cli;

import barleyspur.DoormanServer;
import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import barleyspur.config.OwnSettings;
import barleyspur.sim.SimulatorHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selects and runs the sub-commands. */
final class Cli {

    /** Returned instead of an exit code when the process continues in other threads. */
    static final int RUNNING = -1;

    private static final String HELP =
            """
        usage: barleyspur COMMAND [OPTIONS]
          serve     run a doorman until SIGTERM; RELAY_CONFIG names its configuration, SIGHUP reloads it
          check     validate the configuration that RELAY_CONFIG names
          expect    check routing expectations against a configuration, without traffic
          explain   replay a counterexample that expect has written
          fleet     show a running doorman's view of the fleet
          budget    show a running doorman's shares of the fleet's budgets
          rehearse  run a doorman on synthetic requests to itself, for the build to record the classes it loads
          simhost   run the routing decisions over the simulator's protocol, on standard input and output
          version   print the version
        Run barleyspur COMMAND --help for the options of a command.
        """;

    private static final Logger LOG = LoggerFactory.getLogger("cli");

    private Cli() {}

    static int run(String[] args) {
        String name = args.length == 0 ? "" : args[0];
        if (List.of("help", "--help", "-h").contains(name)) {
            System.out.print(HELP);
            return Command.OK;
        }
        Command command =
                switch (name) {
                    case "serve" ->
                        new Command(
                                name,
                                "",
                                "Run a doorman until SIGTERM.",
                                new Options()
                                        .addOption(Command.option(
                                                "settings",
                                                "FILE",
                                                "an HCL file with barleyspur's own settings; without it, all features "
                                                        + "that it can enable are off")),
                                Cli::serve);
                    case "check" ->
                        new Command(
                                name,
                                "",
                                "Validate the configuration that RELAY_CONFIG names.",
                                new Options()
                                        .addOption(Command.option(
                                                "expect", "FILE", "also check it against these routing expectations"))
                                        .addOption(Command.option(
                                                "settings",
                                                "FILE",
                                                "also validate these settings of barleyspur's own")),
                                Cli::check);
                    case "expect" -> ExpectCommand.expect();
                    case "explain" -> ExpectCommand.explain();
                    case "fleet" -> FleetCommand.command();
                    case "budget" -> BudgetCommand.command();
                    case "rehearse" ->
                        Command.of(name, "Start and stop a doorman on the loopback interface.", line -> startAndStop());
                    case "simhost" ->
                        Command.of(
                                name,
                                "Run the routing decisions over the simulator's protocol on standard input and output.",
                                line -> SimulatorHost.run(
                                        new FileInputStream(FileDescriptor.in),
                                        new FileOutputStream(FileDescriptor.out)));
                    case "version" -> Command.of(name, "Print the version.", line -> printVersion());
                    default -> null;
                };
        if (command == null) {
            System.err.println("barleyspur: " + (name.isEmpty() ? "no command given" : "unknown command " + name));
            System.err.print(HELP);
            return Command.USAGE;
        }
        try {
            return command.run(Arrays.asList(args).subList(1, args.length));
        } catch (IOException e) {
            System.err.println("barleyspur: " + e.getMessage());
            return Command.FAILED;
        }
    }

    private static int printVersion() {
        String version = Cli.class.getPackage().getImplementationVersion();
        System.out.println("barleyspur " + (version == null ? "(not packaged)" : version));
        return Command.OK;
    }

    private static OwnSettings loadSettings(CommandLine line) throws Command.InvalidInputException {
        try {
            return line.hasOption("settings")
                    ? OwnSettings.load(Path.of(line.getOptionValue("settings")))
                    : OwnSettings.none();
        } catch (Hcl.InvalidHclException e) {
            throw Command.InvalidInputException.input("settings: " + e.getMessage());
        }
    }

    private static void checkSettings(OwnSettings settings, Configuration configuration)
            throws Command.InvalidInputException {
        try {
            settings.validateAgainst(configuration);
        } catch (Hcl.InvalidHclException e) {
            throw Command.InvalidInputException.input("settings: " + e.getMessage());
        }
    }

    private static int check(CommandLine line) throws Command.InvalidInputException {
        Configuration configuration = loadConfiguration();
        checkSettings(loadSettings(line), configuration);
        if (line.hasOption("expect")) {
            List<String> violations;
            try {
                violations = ExpectationCheck.findViolations(
                        Path.of(System.getenv("RELAY_CONFIG")),
                        new OwnSettings.Expectations(List.of(Path.of(line.getOptionValue("expect"))), 200, 1));
            } catch (Configuration.InvalidConfigurationException | Hcl.InvalidHclException e) {
                throw Command.InvalidInputException.input(e.getMessage());
            }
            if (!violations.isEmpty()) {
                violations.forEach(b -> System.err.println("barleyspur: " + b));
                System.err.println("barleyspur: barleyspur expect " + line.getOptionValue("expect") + " shows details");
                return Command.FAILED;
            }
        }
        System.out.println("configuration of " + configuration.name() + " is good");
        return Command.OK;
    }

    private static Configuration loadConfiguration() throws Command.InvalidInputException {
        try {
            return Configuration.load(System.getenv());
        } catch (Configuration.InvalidConfigurationException e) {
            throw Command.InvalidInputException.input("configuration: " + e.getMessage());
        }
    }

    private static int startAndStop() throws Command.InvalidInputException, IOException {
        ReloadSignal.load();
        try {
            DoormanServer doorman = new DoormanServer(Configuration.example(), OwnSettings.none());
            doorman.start();
            doorman.drain();
            doorman.awaitEnd();
            return Command.OK;
        } catch (Configuration.InvalidConfigurationException e) {
            throw Command.InvalidInputException.input("configuration: " + e.getMessage());
        } catch (ExecutionException e) {
            throw new IOException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Command.FAILED;
        }
    }

    /** Loads the configuration for a reload; rejects it if it violates the routing expectations of the settings. */
    private static Configuration reloadConfiguration(OwnSettings settings)
            throws Configuration.InvalidConfigurationException {
        Configuration reloaded = Configuration.load(System.getenv());
        if (settings.expectations() != null) {
            ExpectationCheck.requireNoViolations(Path.of(System.getenv("RELAY_CONFIG")), settings.expectations());
        }
        return reloaded;
    }

    /** Loads barleyspur's own settings for a reload; a file with any error is rejected as a whole. */
    private static OwnSettings reloadSettings(CommandLine line, OwnSettings current)
            throws Configuration.InvalidConfigurationException {
        if (!line.hasOption("settings")) {
            return current;
        }
        try {
            OwnSettings reloaded = OwnSettings.load(Path.of(line.getOptionValue("settings")));
            reloaded.validateAgainst(Configuration.load(System.getenv()));
            return reloaded;
        } catch (Hcl.InvalidHclException e) {
            throw new Configuration.InvalidConfigurationException("settings: " + e.getMessage());
        }
    }

    private static int serve(CommandLine line) throws Command.InvalidInputException, IOException {
        ReloadSignal reloadSignal = new ReloadSignal();
        if (!reloadSignal.install()) {
            LOG.warn("SIGHUP is ignored by who started this process: the configuration is never read anew");
        }
        OwnSettings settings = loadSettings(line);
        Configuration configuration = loadConfiguration();
        checkSettings(settings, configuration);
        try {
            DoormanServer doorman = new DoormanServer(configuration, settings);
            // Not by exit(), whose shutdown hooks would wait for a drain that nothing carries out.
            doorman.setFailureHandler(() -> Runtime.getRuntime().halt(Command.FATAL));
            reloadSignal.setTask(
                    () -> doorman.reload(() -> reloadConfiguration(settings), () -> reloadSettings(line, settings)));
            // After SIGTERM the JVM waits for its shutdown hooks, so the hook waits for the drain. It is added before
            // the start, so that clients are never served without it.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                doorman.drain();
                                try {
                                    doorman.awaitEnd();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "drain"));
            doorman.start();
            return RUNNING;
        } catch (RejectedExecutionException e) {
            // SIGTERM arrived during the start, and the hook has stopped the doorman.
            return Command.FAILED;
        } catch (ExecutionException e) {
            throw new IOException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Command.FAILED;
        }
    }
}
