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
 * @param name          name of the fleet; datagrams of other fleets are rejected
 * @param listen        local address for datagrams
 * @param advertise     address that other members send to, such as {@code 10.0.0.4:7101}; the local address by default
 * @param seeds         addresses of members to contact in order to join
 * @param key           content of the key file, the secret that all members of the fleet share
 * @param periodMs      interval between two probes, 100 to 10,000
 * @param rememberMs    how long dead members are kept and contacted again, 10 s to 1 day
 * @param format        newest datagram format to use; lower than the newest known one during a rolling upgrade
 * @param clockOffsetMs offset that is added to the wall clock when the process derives its incarnation number; for
 *     tests of a clock that was stepped
 */
public record FleetSettings(
        String name,
        InetSocketAddress listen,
        String advertise,
        List<String> seeds,
        byte[] key,
        double periodMs,
        double rememberMs,
        int format,
        double clockOffsetMs) {

    private static final int LEAST_KEY = 32;
    private static final int LEAST_DIFFERENT = 8;
    private static final double SECOND = 1_000;

    static FleetSettings read(Path file, Hcl.Block b) throws Hcl.Invalid {
        String name = b.label();
        if (name.isBlank() || name.length() > DatagramSizes.MAX_TEXT_LENGTH) {
            throw b.invalid("has a name that is empty or longer than " + DatagramSizes.MAX_TEXT_LENGTH + " characters");
        }
        Hcl.Value listen = required(b, "listen");
        InetSocketAddress at = addressOf(listen, listen.text());
        Hcl.Value told = b.value("advertise");
        String advertise = told == null ? listen.text() : told.text();
        addressOf(told == null ? listen : told, advertise);
        List<String> seeds = readSeeds(b, listen.text(), advertise);
        byte[] key = readKey(file, required(b, "key_file"));
        double period = time(b, "period", 500, 100, 10 * SECOND);
        double remember = time(b, "remember", 600 * SECOND, 10 * SECOND, 86_400 * SECOND);
        int format = (int) b.number("format", MemberMetadata.NEWEST_FORMAT, 1, MemberMetadata.NEWEST_FORMAT);
        double offset = time(b, "clock_offset", 0, -86_400 * SECOND, 86_400 * SECOND);
        b.close(List.of());
        return new FleetSettings(name, at, advertise, seeds, key, period, remember, format, offset);
    }

    /** Returns whether all values are equal, including the content of the key. */
    boolean sameAs(FleetSettings o) {
        return name.equals(o.name)
                && listen.equals(o.listen)
                && advertise.equals(o.advertise)
                && seeds.equals(o.seeds)
                && Arrays.equals(key, o.key)
                && periodMs == o.periodMs
                && rememberMs == o.rememberMs
                && format == o.format
                && clockOffsetMs == o.clockOffsetMs;
    }

    static Hcl.Value required(Hcl.Block b, String key) throws Hcl.Invalid {
        Hcl.Value value = b.value(key);
        if (value == null) {
            throw b.invalid("has no key " + key);
        }
        return value;
    }

    private static List<String> readSeeds(Hcl.Block b, String listen, String advertise) throws Hcl.Invalid {
        Hcl.Value v = b.value("seeds");
        List<String> seeds = v == null ? List.of() : v.texts();
        for (int i = 0; i < seeds.size(); i++) {
            String seed = seeds.get(i);
            addressOf(v, seed);
            if (seed.equals(listen) || seed.equals(advertise)) {
                throw v.invalid("names this doorman itself: " + seed);
            }
            if (seeds.indexOf(seed) < i) {
                throw v.invalid("names " + seed + " twice");
            }
        }
        return List.copyOf(seeds);
    }

    private static InetSocketAddress addressOf(Hcl.Value v, String text) throws Hcl.Invalid {
        InetSocketAddress address = address(text);
        if (address == null || text.length() > DatagramSizes.MAX_TEXT_LENGTH) {
            throw v.invalid("is not an address with a port: '" + text + "'");
        }
        return address;
    }

    /** Parses an address such as {@code 10.0.0.4:7101}; returns null if it isn't one. */
    public static InetSocketAddress address(String text) {
        try {
            InetSocketAddress address = Configuration.address("", text);
            return address.getPort() > 0 ? address : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static byte[] readKey(Path settings, Hcl.Value v) throws Hcl.Invalid {
        Path file = settings.resolveSibling(v.text());
        String key;
        try {
            key = Files.readString(file).strip();
            if (Files.getPosixFilePermissions(file).contains(PosixFilePermission.OTHERS_READ)) {
                throw v.invalid("names " + file + ", which everybody may read: chmod o-r " + file);
            }
        } catch (IOException e) {
            throw v.invalid("names " + file + ", which can't be read: " + e.getMessage());
        }
        if (key.length() < LEAST_KEY || key.chars().distinct().count() < LEAST_DIFFERENT) {
            throw v.invalid(
                    "names " + file + ", whose key is weak: it has under " + LEAST_KEY + " characters, or under "
                            + LEAST_DIFFERENT + " different ones; head -c 32 /dev/urandom | base64 makes a good one");
        }
        return key.getBytes(StandardCharsets.UTF_8);
    }

    static double time(Hcl.Block b, String key, double otherwise, double least, double most) throws Hcl.Invalid {
        Hcl.Value v = b.value(key);
        double ms = v == null ? otherwise : Hcl.millis(v.text());
        if (!(ms >= least && ms <= most)) {
            throw v.invalid("is no time from " + least + " to " + most + " ms, as \"500ms\" or \"2s\": " + v.value());
        }
        return ms;
    }
}
