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
 * A doorman's place in its fleet: the block {@code fleet "NAME"}.
 *
 * @param name          of the fleet: others' datagrams are not taken
 * @param listen        where datagrams come in
 * @param advertise     where others are to send them, as {@code 10.0.0.4:7101}; the same where nothing stands between
 * @param seeds         addresses to look for others at
 * @param key           what the key file holds, which all of the fleet have
 * @param periodMs      between two probes, 100 to 10,000
 * @param rememberMs    how long the dead are remembered and tried again, 10 s to 1 day
 * @param format        the newest format of datagrams to speak: lower while older programs are being replaced
 * @param clockOffsetMs added to the wall clock when this life is numbered: to rehearse a clock that was stepped
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
        List<String> seeds = seeds(b, listen.text(), advertise);
        byte[] key = key(file, required(b, "key_file"));
        double period = time(b, "period", 500, 100, 10 * SECOND);
        double remember = time(b, "remember", 600 * SECOND, 10 * SECOND, 86_400 * SECOND);
        int format = (int) b.number("format", MemberMetadata.NEWEST_FORMAT, 1, MemberMetadata.NEWEST_FORMAT);
        double offset = time(b, "clock_offset", 0, -86_400 * SECOND, 86_400 * SECOND);
        b.close(List.of());
        return new FleetSettings(name, at, advertise, seeds, key, period, remember, format, offset);
    }

    /** Whether nothing of it differs. */
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

    private static List<String> seeds(Hcl.Block b, String listen, String advertise) throws Hcl.Invalid {
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

    /** The address that a text names, as {@code 10.0.0.4:7101}; null where it names none. */
    public static InetSocketAddress address(String text) {
        try {
            InetSocketAddress address = Configuration.address("", text);
            return address.getPort() > 0 ? address : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static byte[] key(Path settings, Hcl.Value v) throws Hcl.Invalid {
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
