package barleyspur.cli;

/** The program: a few lines round the commands. */
public final class Main {

    private Main() {}

    /** Runs the sub-command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        int code = Cli.run(args);
        if (code != Cli.RUNNING) {
            System.exit(code);
        }
    }
}
