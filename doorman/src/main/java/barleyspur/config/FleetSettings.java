package barleyspur.config;

import barleyspur.fleet.DatagramSizes;
import barleyspur.fleet.MemberMetadata;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Arrays;
import java.util.List;

/**
 * Settings of the block {@code fleet "NAME"}: how a doorman joins the fleet and exchanges datagrams with it.
 *
 * @param name name of the fleet; datagrams of other fleets are rejected
 * @param listenAddress local address for datagrams
 * @param advertisedAddress address that other members send to, such as {@code 10.0.0.4:7101}; by default the local one
 * @param seedAddresses addresses of members to contact in order to join
 * @param sharedKey content of the key file, the secret that all members of the fleet share
 * @param probePeriodMs interval between two probes, 100 to 10,000
 * @param deadRetentionMs how long dead members are kept and contacted again, 10 s to 1 day
 * @param newestFormat newest datagram format to use; lower than the newest known one during a rolling upgrade
 * @param clockOffsetMs offset that is added to the wall clock when the process derives its incarnation number; for
 *     tests of a clock that was stepped
 */
public record FleetSettings(
        String name,
        InetSocketAddress listenAddress,
        String advertisedAddress,
        List<String> seedAddresses,
        byte[] sharedKey,
        double probePeriodMs,
        double deadRetentionMs,
        int newestFormat,
        double clockOffsetMs) {

    private static final int MIN_KEY_LENGTH = 32;
    private static final int MIN_DISTINCT_CHARACTERS = 8;
    private static final double SECOND_MS = 1_000;

    static FleetSettings read(Path file, Hcl.Block block) throws Hcl.InvalidHclException {
        String name = block.label();
        if (name.isBlank() || name.length() > DatagramSizes.MAX_TEXT_LENGTH) {
            throw block.invalid(
                    "has a name that is empty or longer than " + DatagramSizes.MAX_TEXT_LENGTH + " characters");
        }
        Hcl.Value listenValue = requiredValue(block, "listen");
        InetSocketAddress listenAddress = readAddress(listenValue, listenValue.asString());
        Hcl.Value advertiseValue = block.value("advertise");
        String advertisedAddress = advertiseValue == null ? listenValue.asString() : advertiseValue.asString();
        readAddress(advertiseValue == null ? listenValue : advertiseValue, advertisedAddress);
        List<String> seedAddresses = readSeeds(block, listenValue.asString(), advertisedAddress);
        byte[] sharedKey = readKey(file, requiredValue(block, "key_file"));
        double probePeriodMs = readDuration(block, "period", 500, 100, 10 * SECOND_MS);
        double deadRetentionMs = readDuration(block, "remember", 600 * SECOND_MS, 10 * SECOND_MS, 86_400 * SECOND_MS);
        int newestFormat = (int) block.number("format", MemberMetadata.NEWEST_FORMAT, 1, MemberMetadata.NEWEST_FORMAT);
        double clockOffsetMs = readDuration(block, "clock_offset", 0, -86_400 * SECOND_MS, 86_400 * SECOND_MS);
        block.rejectUnknown(List.of());
        return new FleetSettings(
                name,
                listenAddress,
                advertisedAddress,
                seedAddresses,
                sharedKey,
                probePeriodMs,
                deadRetentionMs,
                newestFormat,
                clockOffsetMs);
    }

    /** Returns whether all values are equal, including the content of the key. */
    boolean isSameAs(FleetSettings other) {
        return name.equals(other.name)
                && listenAddress.equals(other.listenAddress)
                && advertisedAddress.equals(other.advertisedAddress)
                && seedAddresses.equals(other.seedAddresses)
                && Arrays.equals(sharedKey, other.sharedKey)
                && probePeriodMs == other.probePeriodMs
                && deadRetentionMs == other.deadRetentionMs
                && newestFormat == other.newestFormat
                && clockOffsetMs == other.clockOffsetMs;
    }

    static Hcl.Value requiredValue(Hcl.Block block, String key) throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        if (value == null) {
            throw block.invalid("has no key " + key);
        }
        return value;
    }

    private static List<String> readSeeds(Hcl.Block block, String listen, String advertise)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value("seeds");
        List<String> seeds = value == null ? List.of() : value.asStrings();
        for (int i = 0; i < seeds.size(); i++) {
            String seed = seeds.get(i);
            readAddress(value, seed);
            if (seed.equals(listen) || seed.equals(advertise)) {
                throw value.invalid("names this doorman itself: " + seed);
            }
            if (seeds.indexOf(seed) < i) {
                throw value.invalid("names " + seed + " twice");
            }
        }
        return List.copyOf(seeds);
    }

    private static InetSocketAddress readAddress(Hcl.Value value, String text) throws Hcl.InvalidHclException {
        InetSocketAddress address = parseAddress(text);
        if (address == null || text.length() > DatagramSizes.MAX_TEXT_LENGTH) {
            throw value.invalid("is not an address with a port: '" + text + "'");
        }
        return address;
    }

    /** Parses an address such as {@code 10.0.0.4:7101}; returns null if it isn't one. */
    public static InetSocketAddress parseAddress(String text) {
        try {
            InetSocketAddress address = Configuration.parseAddress("", text);
            return address.getPort() > 0 ? address : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static byte[] readKey(Path settingsFile, Hcl.Value value) throws Hcl.InvalidHclException {
        Path keyFile = settingsFile.resolveSibling(value.asString());
        String key;
        try {
            key = Files.readString(keyFile).strip();
            if (Files.getPosixFilePermissions(keyFile).contains(PosixFilePermission.OTHERS_READ)) {
                throw value.invalid("names " + keyFile + ", which everybody may read: chmod o-r " + keyFile);
            }
        } catch (IOException e) {
            throw value.invalid("names " + keyFile + ", which can't be read: " + e.getMessage());
        }
        if (key.length() < MIN_KEY_LENGTH || key.chars().distinct().count() < MIN_DISTINCT_CHARACTERS) {
            throw value.invalid("names " + keyFile + ", whose key is weak: it has under " + MIN_KEY_LENGTH
                    + " characters, or under " + MIN_DISTINCT_CHARACTERS
                    + " different ones; head -c 32 /dev/urandom | base64 makes a good one");
        }
        return key.getBytes(StandardCharsets.UTF_8);
    }

    static double readDuration(Hcl.Block block, String key, double defaultMs, double minMs, double maxMs)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        double ms = value == null ? defaultMs : Hcl.parseMillis(value.asString());
        if (!(ms >= minMs && ms <= maxMs)) {
            throw value.invalid(
                    "is no time from " + minMs + " to " + maxMs + " ms, as \"500ms\" or \"2s\": " + value.value());
        }
        return ms;
    }
}
