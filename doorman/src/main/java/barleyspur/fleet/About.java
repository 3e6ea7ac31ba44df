package barleyspur.fleet;

import java.util.Arrays;

/**
 * What a member tells of itself, and only it may change: each change comes with a new incarnation.
 *
 * @param address  where its datagrams are to be sent, as {@code 127.0.0.1:7001}
 * @param zone     the name of its zone, or empty
 * @param phase    of its lifecycle, as health says it
 * @param program  the program's version
 * @param settings a digest of the settings it runs by
 * @param format   the newest format of datagrams that it reads
 * @param more     what newer formats add, encoded: passed on as it is by who doesn't know it
 */
public record About(String address, String zone, String phase, String program, long settings, int format, byte[] more) {

    /** The newest format of datagrams that this program reads; 2 adds a member's counters. */
    public static final int NEWEST_FORMAT = 2;

    private static final byte[] NOTHING = {};

    /** Without additions there is an empty array, never null. */
    public About {
        more = more == null || more.length == 0 ? NOTHING : more;
    }

    /** The same in another phase and with other additions. */
    public About with(String newPhase, byte[] newMore) {
        return new About(address, zone, newPhase, program, settings, format, newMore);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof About a
                && address.equals(a.address)
                && zone.equals(a.zone)
                && phase.equals(a.phase)
                && program.equals(a.program)
                && settings == a.settings
                && format == a.format
                && Arrays.equals(more, a.more);
    }

    @Override
    public int hashCode() {
        return address.hashCode() * 31 + phase.hashCode();
    }
}
