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
 * One sub-command: its name, its arguments and options, and what it does. Each has {@code --help} of its own.
 *
 * @param arguments how the help names what stands beside the options; empty where nothing may
 */
record Command(String name, String arguments, String about, Options options, Action action) {

    /** Good, found wrong or failed, and a command line or input that can't be used. */
    static final int OK = 0;

    static final int FAILED = 1;
    static final int USAGE = 2;

    /** A command line or input that can't be used. */
    static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;
        private final boolean commandLine;

        private Unusable(String message, boolean commandLine) {
            super(message);
            this.commandLine = commandLine;
        }

        static Unusable line(String message) {
            return new Unusable(message, true);
        }

        static Unusable input(String message) {
            return new Unusable(message, false);
        }
    }

    /** What a command does; returns the exit code, or {@link Cli#RUNNING}. */
    interface Action {
        int run(CommandLine line) throws Unusable, IOException;
    }

    static Command of(String name, String about, Action action) {
        return new Command(name, "", about, new Options(), action);
    }

    /** An option with a value. */
    static Option value(String name, String value, String about) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(about)
                .get();
    }

    /** An option without one. */
    static Option flag(String name, String about) {
        return Option.builder().longOpt(name).desc(about).get();
    }

    int run(List<String> arguments) throws IOException {
        options.addOption(Option.builder("h").longOpt("help").desc("print this").get());
        try {
            CommandLine line = new DefaultParser().parse(options, arguments.toArray(String[]::new));
            if (line.hasOption("help")) {
                help();
                return OK;
            }
            if (this.arguments.isEmpty() && !line.getArgList().isEmpty()) {
                throw Unusable.line("unexpected argument " + line.getArgList().get(0));
            }
            return action.run(line);
        } catch (ParseException e) {
            return unusable(e.getMessage(), true);
        } catch (Unusable e) {
            return unusable(e.getMessage(), e.commandLine);
        }
    }

    private int unusable(String message, boolean commandLine) {
        System.err.println("barleyspur: " + message);
        if (commandLine) {
            System.err.println("barleyspur: see barleyspur " + name + " --help");
        }
        return USAGE;
    }

    private void help() throws IOException {
        HelpFormatter.builder()
                .setShowSince(false)
                .get()
                .printHelp(
                        "barleyspur " + name + " [OPTIONS]" + (arguments.isEmpty() ? "" : " " + arguments),
                        about,
                        options,
                        "",
                        false);
    }

    /** A whole number from an option. */
    static long number(CommandLine line, String option, long otherwise, long least, long most) throws Unusable {
        String text = line.getOptionValue(option);
        if (text == null) {
            return otherwise;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Said below, with the option.
        }
        throw Unusable.line("--" + option + " is not a whole number from " + least + " to " + most + ": " + text);
    }
}
