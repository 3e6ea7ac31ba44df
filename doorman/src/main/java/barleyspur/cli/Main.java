package barleyspur.cli;

/** The program: a few lines round the commands. */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        int code = Cli.run(args);
        if (code != Cli.RUNNING) {
            System.exit(code);
        }
    }
}
