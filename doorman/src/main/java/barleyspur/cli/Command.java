package barleyspur.cli;

import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * A sub-command with its options and its action. Each one has its own {@code --help}.
 *
 * @param arguments the arguments besides the options, as shown in the help; empty if none are accepted
 */
record Command(String name, String arguments, String description, Options options, Action action) {

    /** Exit code of success. */
    static final int OK = 0;

    /** Exit code of a failure, or of a check with a negative result. */
    static final int FAILED = 1;

    /** Exit code of an invalid command line or input. */
    static final int USAGE = 2;

    /**
     * Exit code of a doorman that can't go on: its event loop has ended, or no memory is left. The latter is reported by
     * the JVM itself (ExitOnOutOfMemoryError), which exits with the same code.
     */
    static final int FATAL = 3;

    /** Thrown for an invalid command line or input. */
    static final class InvalidInputException extends Exception {
        private static final long serialVersionUID = 1L;
        private final boolean commandLine;

        private InvalidInputException(String message, boolean commandLine) {
            super(message);
            this.commandLine = commandLine;
        }

        /** An error in the command line, after which the help is mentioned. */
        static InvalidInputException commandLine(String message) {
            return new InvalidInputException(message, true);
        }

        /** An error in a file or other input. */
        static InvalidInputException input(String message) {
            return new InvalidInputException(message, false);
        }
    }

    /** The implementation of a command. */
    interface Action {
        /** Runs the command and returns the exit code, or {@link Cli#RUNNING}. */
        int run(CommandLine line) throws InvalidInputException, IOException;
    }

    /** Returns a command without arguments and options. */
    static Command of(String name, String description, Action action) {
        return new Command(name, "", description, new Options(), action);
    }

    /** Returns an option with a value. */
    static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    /** Returns an option without a value. */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /** Parses the arguments, runs the command and returns the exit code, or {@link Cli#RUNNING}. */
    int run(List<String> arguments) throws IOException {
        options.addOption(
                Option.builder("h").longOpt("help").desc("print this help").get());
        try {
            CommandLine line = new DefaultParser().parse(options, arguments.toArray(String[]::new));
            if (line.hasOption("help")) {
                printHelp();
                return OK;
            }
            if (this.arguments.isEmpty() && !line.getArgList().isEmpty()) {
                throw InvalidInputException.commandLine(
                        "unexpected argument " + line.getArgList().get(0));
            }
            return action.run(line);
        } catch (ParseException e) {
            return reportInvalid(e.getMessage(), true);
        } catch (InvalidInputException e) {
            return reportInvalid(e.getMessage(), e.commandLine);
        }
    }

    private int reportInvalid(String message, boolean commandLine) {
        System.err.println("barleyspur: " + message);
        if (commandLine) {
            System.err.println("barleyspur: see barleyspur " + name + " --help");
        }
        return USAGE;
    }

    private void printHelp() throws IOException {
        HelpFormatter.builder()
                .setShowSince(false)
                .get()
                .printHelp(
                        "barleyspur " + name + " [OPTIONS]" + (arguments.isEmpty() ? "" : " " + arguments),
                        description,
                        options,
                        "",
                        false);
    }

    /**
     * Returns the integer value of an option.
     *
     * @param defaultValue the value if the option is missing
     */
    static long integer(CommandLine line, String option, long defaultValue, long min, long max)
            throws InvalidInputException {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, with the name of the option.
        }
        throw InvalidInputException.commandLine(
                "--" + option + " is not a whole number from " + min + " to " + max + ": " + text);
    }
}
