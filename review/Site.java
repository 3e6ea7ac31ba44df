import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Settings in the form of the deployments' pages, for one zone with three doormans. */
final class Site {
    /** A class of requests; windowMs and scope count for keyed classes only. */
    record Grade(
            String name, String repeat, int promiseMs, double stretch, int hardLimitMs, double value, boolean passOn,
            int goodForMs, int staleForMs, int windowMs, String scope) {}

    /** The classes of kartli-swap-cache. */
    static final Grade PARTS = new Grade("video-parts", "repeatable", 600, 2, 6000, 2, false, 0, 0, 5000, "all");
    static final Grade FILES = new Grade("small-files", "repeatable", 300, 2, 2500, 1, false, 20000, 0, 5000, "all");
    static final Grade RECORD = new Grade("swap-record", "once", 700, 0, 3000, 3, true, 0, 0, 5000, "all");

    final List<Grade> grades = new ArrayList<>();
    boolean mayDuplicate = true;
    boolean joins = true;
    String tells = "hit";
    String lateral = "any";
    int sendCap = 8;
    int connIdleMs = 15000;
    double obeyAfterMs = 1000;
    double clearedWithinMs = 6000;
    double drainGraceMs = 2000;
    int memoryMb = 192;
    int sockets = 1024;
    int balancers = 3;

    static Site kartli() {
        Site site = new Site();
        site.grades.add(PARTS);
        site.grades.add(FILES);
        site.grades.add(RECORD);
        return site;
    }

    /** The configuration file of a doorman. */
    String config(String name, int listen, int channel, String known, String more) {
        StringBuilder list = new StringBuilder();
        List<String> goodFor = new ArrayList<>();
        List<String> staleFor = new ArrayList<>();
        List<String> inParts = new ArrayList<>();
        List<String> passOn = new ArrayList<>();
        List<String> old = new ArrayList<>();
        for (Grade grade : grades) {
            list.append(list.length() == 0 ? "" : ",").append(String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"repeat\":\"%s\",\"promiseMs\":%d,\"aimStretch\":%.1f,\"hardLimitMs\":%d,"
                            + "\"value\":%.1f,\"lateWorth\":0.1,\"keyTtlMs\":%d,\"keyScope\":\"%s\",\"stream\":false}",
                    grade.name(), grade.repeat(), grade.promiseMs(), grade.stretch(), grade.hardLimitMs(),
                    grade.value(), grade.windowMs(), grade.scope()));
            goodFor.add(grade.goodForMs() + ".0");
            staleFor.add(grade.staleForMs() + ".0");
            inParts.add("false");
            passOn.add(Boolean.toString(grade.passOn()));
            old.add("0.7");
        }
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                + "\"channel\":\"127.0.0.1:" + channel + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + more + "\"known\":" + known + ",\"settings\":{"
                + "\"areas\":[\"central\",\"edge-1\"],\"flavors\":[\"small-box\",\"large-box\",\"parent\",\"origin\"],"
                + "\"groupSize\":" + balancers + ",\"myNumber\":0,\"myZone\":1,\"tier\":0,\"tiers\":[\"station-cache\"],"
                + "\"discovery\":\"pushed\",\"resolutionMs\":2.0,\"weights\":\"rough\",\"countedBy\":\"request\","
                + "\"kindOfService\":\"edge\",\"overShareWorth\":0.1,\"tenants\":[],"
                + "\"report\":{\"how\":\"pull\",\"fields\":[\"load_share\",\"x1\"]},"
                + "\"grades\":[" + list + "],"
                + "\"familyInfo\":{\"midKind\":2,\"masterKind\":3,\"paceKbPerS\":5800.0,\"passOn\":["
                + String.join(",", passOn) + "],\"inParts\":[" + String.join(",", inParts) + "],\"goodForMs\":["
                + String.join(",", goodFor) + "],\"staleForMs\":[" + String.join(",", staleFor)
                + "],\"worthWhenOld\":[" + String.join(",", old) + "],\"zoneBalancers\":[0," + balancers
                + "],\"zoneHub\":[0,0],\"joins\":" + joins + ",\"passThroughOk\":true,\"lateral\":\"" + lateral
                + "\",\"tells\":\"" + tells + "\",\"obeyAfterMs\":" + obeyAfterMs + ",\"clearedWithinMs\":"
                + clearedWithinMs + ",\"byteFee\":0.06,\"originLimitFactor\":0.0,\"originFallMs\":3000.0,"
                + "\"pipeKbPerS\":[0.0,88671.0],\"upperColdFrom\":0.068,\"upperColdMs\":19000.0,"
                + "\"upperFallMultiple\":2.0},"
                + "\"limits\":{\"cancel\":true,\"connIdleMs\":" + connIdleMs + ".0,\"connectTimeoutMs\":400.0,"
                + "\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\"maxOpen\":20000,\"maxRetryAfterMs\":1000.0,"
                + "\"mayDuplicate\":" + mayDuplicate + ",\"mayProbe\":true,\"multiplex\":32,\"peers\":false,"
                + "\"retryAfter\":true,\"sendCap\":" + sendCap + "},"
                + "\"rules\":{\"answerSlackMs\":8.0,\"coldFrom\":0.24,\"coldMs\":17000.0,\"drainGraceMs\":"
                + drainGraceMs + ",\"fallMs\":3000.0,\"mustAskInMs\":10000.0,\"tipMultiple\":3.0},"
                + "\"goal\":{\"whole\":0.55,\"worstClass\":0.35,\"worstTenant\":0.0,\"worstWindow\":0.1},"
                + "\"charges\":{\"crossZone\":0.01,\"lateFail\":0.08,\"origin\":0.05,\"probe\":0.0091,\"waste\":0.026}}}";
    }
}
