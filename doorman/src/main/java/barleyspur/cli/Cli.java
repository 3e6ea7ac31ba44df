package barleyspur.cli;

import barleyspur.sim.Adapter;
import barleyspur.Node;
import barleyspur.config.Configuration;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The sub-commands. */
final class Cli {

    /** No exit code: the process goes on in its other threads. */
    static final int RUNNING = -1;
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private static final String HELP = """
        usage: barleyspur COMMAND [--help]
          serve     run one doorman, as RELAY_CONFIG says, until SIGTERM; SIGHUP rereads it
          check     read and check the configuration that RELAY_CONFIG names
          rehearse  start and end a doorman that plays made-up requests to itself; the build records its classes
          simhost   run the decisions on the simulator's wire, on standard input and output
          version   print the version
        """;

    private Cli() { }

    static int run(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        Options options = new Options().addOption("h", "help", false, "print the usage");
        try {
            CommandLine line = new DefaultParser().parse(options,
                Arrays.copyOfRange(args, Math.min(1, args.length), args.length));
            if (line.hasOption("help") || command.equals("help") || command.equals("--help")) {
                System.out.print(HELP);
                return OK;
            }
            if (!line.getArgList().isEmpty()) {
                return usage("unexpected argument " + line.getArgList().get(0));
            }
        } catch (ParseException e) {
            return usage(e.getMessage());
        }
        return switch (command) {
            case "serve" -> serve();
            case "check" -> check();
            case "rehearse" -> rehearse();
            case "simhost" -> Adapter.run(new FileInputStream(FileDescriptor.in),
                new FileOutputStream(FileDescriptor.out));
            case "version" -> version();
            default -> usage(command.isEmpty() ? "a command is missing" : "unknown command " + command);
        };
    }

    private static int usage(String message) {
        System.err.println("barleyspur: " + message);
        System.err.print(HELP);
        return USAGE;
    }

    private static int version() {
        String version = Cli.class.getPackage().getImplementationVersion();
        System.out.println("barleyspur " + (version == null ? "(not packaged)" : version));
        return OK;
    }

    private static int check() {
        try {
            Configuration configuration = Configuration.load(System.getenv());
            System.out.println("configuration of " + configuration.name() + " is good");
            return OK;
        } catch (Configuration.Invalid e) {
            return invalid(e);
        }
    }

    private static int invalid(Configuration.Invalid e) {
        System.err.println("barleyspur: configuration: " + e.getMessage());
        return USAGE;
    }

    private static int rehearse() {
        try {
            Node node = new Node(Configuration.example());
            node.start();
            node.drain();
            node.awaitEnd();
            return OK;
        } catch (Configuration.Invalid e) {
            return invalid(e);
        } catch (IOException | ExecutionException e) {
            System.err.println("barleyspur: " + e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    private static int serve() {
        try {
            Node node = new Node(Configuration.load(System.getenv()));
            // Before the start: unhandled, the signal would end the JVM.
            Signals.on("HUP", () -> node.reload(() -> Configuration.load(System.getenv())));
            node.start();
            // On SIGTERM the process stays until its hooks have ended, so the hook waits for the drain.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                node.drain();
                try {
                    node.awaitEnd();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, "drain"));
            return RUNNING;
        } catch (Configuration.Invalid e) {
            return invalid(e);
        } catch (IOException | ExecutionException e) {
            System.err.println("barleyspur: " + e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }
}
