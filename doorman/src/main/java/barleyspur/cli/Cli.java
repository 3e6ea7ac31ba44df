package barleyspur.cli;

import barleyspur.DoormanServer;
import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import barleyspur.config.OwnSettings;
import barleyspur.sim.Adapter;
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

/** The sub-commands. */
final class Cli {

    /** No exit code: the process goes on in its other threads. */
    static final int RUNNING = -1;

    private static final String HELP =
            """
        usage: barleyspur COMMAND [OPTIONS]
          serve     run one doorman, as RELAY_CONFIG says, until SIGTERM; SIGHUP rereads it
          check     read and check the configuration that RELAY_CONFIG names
          expect    check routing expectations against a configuration, without traffic
          explain   replay a counterexample that expect has written
          fleet     show a running doorman's view of the others
          budget    show what a running doorman may use of the fleet's budgets
          rehearse  start and end a doorman that plays made-up requests to itself; the build records its classes
          simhost   run the decisions on the simulator's wire, on standard input and output
          version   print the version
        barleyspur COMMAND --help tells the options of each.
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
                                "Run one doorman until SIGTERM.",
                                new Options()
                                        .addOption(Command.value(
                                                "settings",
                                                "FILE",
                                                "an HCL file of our own settings; none: all that it could switch on "
                                                        + "is off")),
                                Cli::serve);
                    case "check" ->
                        new Command(
                                name,
                                "",
                                "Read and check the configuration that RELAY_CONFIG names.",
                                new Options()
                                        .addOption(Command.value(
                                                "expect",
                                                "FILE",
                                                "check it against these routing expectations " + "too"))
                                        .addOption(Command.value(
                                                "settings", "FILE", "check these settings of our own too")),
                                Cli::check);
                    case "expect" -> ExpectCommand.expect();
                    case "explain" -> ExpectCommand.explain();
                    case "fleet" -> FleetCommand.fleet();
                    case "budget" -> BudgetCommand.budget();
                    case "rehearse" -> Command.of(name, "Start and end a doorman on loopback.", line -> rehearse());
                    case "simhost" ->
                        Command.of(
                                name,
                                "Run the decisions on the simulator's wire, on standard input and " + "output.",
                                line -> Adapter.run(
                                        new FileInputStream(FileDescriptor.in),
                                        new FileOutputStream(FileDescriptor.out)));
                    case "version" -> Command.of(name, "Print the version.", line -> version());
                    default -> null;
                };
        if (command == null) {
            System.err.println("barleyspur: " + (name.isEmpty() ? "a command is missing" : "unknown command " + name));
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

    private static int version() {
        String version = Cli.class.getPackage().getImplementationVersion();
        System.out.println("barleyspur " + (version == null ? "(not packaged)" : version));
        return Command.OK;
    }

    private static OwnSettings settings(CommandLine line) throws Command.Unusable {
        try {
            return line.hasOption("settings")
                    ? OwnSettings.load(Path.of(line.getOptionValue("settings")))
                    : OwnSettings.none();
        } catch (Hcl.Invalid e) {
            throw Command.Unusable.input("settings: " + e.getMessage());
        }
    }

    private static void match(OwnSettings settings, Configuration configuration) throws Command.Unusable {
        try {
            settings.check(configuration);
        } catch (Hcl.Invalid e) {
            throw Command.Unusable.input("settings: " + e.getMessage());
        }
    }

    private static int check(CommandLine line) throws Command.Unusable {
        Configuration configuration = configuration();
        match(settings(line), configuration);
        if (line.hasOption("expect")) {
            List<String> broken;
            try {
                broken = ExpectationCheck.broken(
                        Path.of(System.getenv("RELAY_CONFIG")),
                        new OwnSettings.Expectations(List.of(Path.of(line.getOptionValue("expect"))), 200, 1));
            } catch (Configuration.Invalid | Hcl.Invalid e) {
                throw Command.Unusable.input(e.getMessage());
            }
            if (!broken.isEmpty()) {
                broken.forEach(b -> System.err.println("barleyspur: " + b));
                System.err.println("barleyspur: barleyspur expect " + line.getOptionValue("expect") + " tells more");
                return Command.FAILED;
            }
        }
        System.out.println("configuration of " + configuration.name() + " is good");
        return Command.OK;
    }

    private static Configuration configuration() throws Command.Unusable {
        try {
            return Configuration.load(System.getenv());
        } catch (Configuration.Invalid e) {
            throw Command.Unusable.input("configuration: " + e.getMessage());
        }
    }

    private static int rehearse() throws Command.Unusable, IOException {
        try {
            DoormanServer node = new DoormanServer(Configuration.example(), OwnSettings.none());
            node.start();
            node.drain();
            node.awaitEnd();
            return Command.OK;
        } catch (Configuration.Invalid e) {
            throw Command.Unusable.input("configuration: " + e.getMessage());
        } catch (ExecutionException e) {
            throw new IOException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Command.FAILED;
        }
    }

    /** The configuration of a reload: refused where it breaks what the settings expect of it. */
    private static Configuration reread(OwnSettings settings) throws Configuration.Invalid {
        Configuration next = Configuration.load(System.getenv());
        if (settings.expectations() != null) {
            ExpectationCheck.require(Path.of(System.getenv("RELAY_CONFIG")), settings.expectations());
        }
        return next;
    }

    /** Our own settings of a reload: a faulty file is refused whole. */
    private static OwnSettings rereadOwn(CommandLine line, OwnSettings before) throws Configuration.Invalid {
        if (!line.hasOption("settings")) {
            return before;
        }
        try {
            OwnSettings next = OwnSettings.load(Path.of(line.getOptionValue("settings")));
            next.check(Configuration.load(System.getenv()));
            return next;
        } catch (Hcl.Invalid e) {
            throw new Configuration.Invalid("settings: " + e.getMessage());
        }
    }

    private static int serve(CommandLine line) throws Command.Unusable, IOException {
        ReloadSignal reloadSignal = new ReloadSignal();
        if (!reloadSignal.install()) {
            LOG.warn("SIGHUP is ignored by who started this process: the configuration is never read anew");
        }
        OwnSettings settings = settings(line);
        Configuration configuration = configuration();
        match(settings, configuration);
        try {
            DoormanServer node = new DoormanServer(configuration, settings);
            reloadSignal.reloadBy(() -> node.reload(() -> reread(settings), () -> rereadOwn(line, settings)));
            // On SIGTERM the process stays until its hooks have ended, so the hook waits for the drain. Before the
            // start, so that there is no moment with clients and without it.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                node.drain();
                                try {
                                    node.awaitEnd();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "drain"));
            node.start();
            return RUNNING;
        } catch (RejectedExecutionException e) {
            // SIGTERM came while it started: the hook has ended it.
            return Command.FAILED;
        } catch (ExecutionException e) {
            throw new IOException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Command.FAILED;
        }
    }
}
