package barleyspur.fleet;

import java.util.Arrays;

/**
 * What a member tells of itself, and only it may change: each change comes with a new incarnation.
 *
 * @param address  where its datagrams are to be sent, as {@code 127.0.0.1:7001}
 * @param zone     the name of its zone, or empty
 * @param phase    of its lifecycle, as health says it
 * @param programVersion  the program's version
 * @param settingsDigest a digest of the settings it runs by
 * @param newestFormat   the newest format of datagrams that it reads
 * @param extensions     what newer formats add, encoded: passed on as it is by who doesn't know it
 */
public record MemberMetadata(
        String address,
        String zone,
        String phase,
        String programVersion,
        long settingsDigest,
        int newestFormat,
        byte[] extensions) {

    /** The newest format of datagrams that this program reads; 2 adds a member's counters. */
    public static final int NEWEST_FORMAT = 2;

    private static final byte[] NO_EXTENSIONS = {};

    /** Without additions there is an empty array, never null. */
    public MemberMetadata {
        extensions = extensions == null || extensions.length == 0 ? NO_EXTENSIONS : extensions;
    }

    /** The same in another phase and with other additions. */
    public MemberMetadata withPhaseAndExtensions(String newPhase, byte[] newExtensions) {
        return new MemberMetadata(address, zone, newPhase, programVersion, settingsDigest, newestFormat, newExtensions);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberMetadata that
                && address.equals(that.address)
                && zone.equals(that.zone)
                && phase.equals(that.phase)
                && programVersion.equals(that.programVersion)
                && settingsDigest == that.settingsDigest
                && newestFormat == that.newestFormat
                && Arrays.equals(extensions, that.extensions);
    }

    @Override
    public int hashCode() {
        return address.hashCode() * 31 + phase.hashCode();
    }
}
