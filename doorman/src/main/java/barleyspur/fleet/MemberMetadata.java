package barleyspur.fleet;

import java.util.Arrays;

/**
 * The metadata that a member publishes about itself. Only the member itself changes it, and every change comes with a
 * new incarnation.
 *
 * @param address        where to send datagrams for this member, such as {@code 127.0.0.1:7001}
 * @param zone           the name of its zone, or empty
 * @param phase          the phase of its lifecycle, as in its health response
 * @param programVersion the version of its program
 * @param settingsDigest a digest of the settings that it runs with
 * @param newestFormat   the newest datagram format that it can read
 * @param extensions     the encoded fields of newer formats; a member that can't read them forwards them unchanged
 */
public record MemberMetadata(
        String address,
        String zone,
        String phase,
        String programVersion,
        long settingsDigest,
        int newestFormat,
        byte[] extensions) {

    /** The newest datagram format that this program can read; format 2 added the counters of a member. */
    public static final int NEWEST_FORMAT = 2;

    private static final byte[] NO_EXTENSIONS = {};

    /** Replaces missing extensions by an empty array, so that they are never null. */
    public MemberMetadata {
        extensions = extensions == null || extensions.length == 0 ? NO_EXTENSIONS : extensions;
    }

    /** Returns a copy with another phase and other extensions. */
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
