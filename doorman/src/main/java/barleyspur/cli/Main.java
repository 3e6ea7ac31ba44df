package barleyspur.cli;

/** The entry point of the program. */
public final class Main {

    private Main() {}

    /** Runs the sub-command that the arguments name; exits with its code unless it continues in other threads. */
    public static void main(String[] args) {
        int code = Cli.run(args);
        if (code != Cli.RUNNING) {
            System.exit(code);
        }
    }
}
