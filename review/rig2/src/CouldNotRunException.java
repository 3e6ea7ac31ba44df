/** The case could not run on this machine, or its precondition did not come about: exit code 2. */
final class CouldNotRunException extends Exception {
    private static final long serialVersionUID = 1L;

    CouldNotRunException(String message) {
        super(message);
    }
}
