package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Hcl;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What is said to be exhaustive is: every order is played, or one that differs from it only by which equal box. */
class ExplorerTest {

    private static Site site() throws Hcl.InvalidHclException {
        return Texts.read(
                        Texts.site(),
                        """
            fleet "pair" {
              stations        = 1
              caches          = 2
              district_caches = 1
              doormans        = 1
            }
            """)
                .deployments()
                .get(0);
    }

    private static Load load() {
        Load usual = Load.usual(Texts.site().any());
        return new Load("tiny", 0.5, 500, 5, 10, 1, 0, 0, false, usual.classes());
    }

    /** An order by what it does to the first, second, ... box of each kind that it strikes. */
    private static String named(Site site, List<Fault> faults) {
        Map<Long, String> names = new HashMap<>();
        Map<Site.Role, Integer> used = new HashMap<>();
        StringBuilder text = new StringBuilder();
        for (Fault f : faults) {
            String name = f.node() < 0 || f.kind() == Fault.Kind.LINK
                    ? ""
                    : names.computeIfAbsent(f.node(), n -> {
                        Site.Role role = site.role(site.boxes().stream()
                                .filter(b -> b.node() == n)
                                .findFirst()
                                .orElseThrow());
                        return role.word() + used.merge(role, 1, Integer::sum);
                    });
            text.append(f.kind().word()).append(' ').append(name).append(", ");
        }
        return text.toString();
    }

    /** Guards: symmetry reduction leaves nothing out and plays nothing twice. */
    @Test
    void allOrdersOfTwoAreThereOnce() throws Hcl.InvalidHclException {
        Site site = site();
        Explorer explorer = new Explorer(site, List.of(load()), List.of(), 1, 2, true);
        Set<String> played = new HashSet<>();
        int all = 0;
        while (!explorer.covered().endsWith("all there are")) {
            Explorer.Plan plan = explorer.next();
            if (!explorer.covered().endsWith("all there are")) {
                all++;
                assertTrue(
                        played.add(named(site, plan.scenario().faults())),
                        "twice: " + plan.scenario().faults());
            }
        }
        assertEquals(all, played.size());
        // Those that always have an effect, in all orders and on all boxes.
        EnumSet<Fault.Kind> plain =
                EnumSet.of(Fault.Kind.HANG, Fault.Kind.SLOW, Fault.Kind.FULL, Fault.Kind.FAIL, Fault.Kind.RESTART);
        List<Fault> symbols = new ArrayList<>();
        for (Box b : site.boxes()) {
            for (Fault.Kind kind : plain) {
                if (kind != Fault.Kind.RESTART || site.role(b) != Site.Role.HEAD_OFFICE) {
                    symbols.add(new Fault(kind, b.node(), 0, 0, 0, 0));
                }
            }
        }
        for (Fault one : symbols) {
            assertTrue(played.contains(named(site, List.of(one))), () -> "missing: " + one);
            for (Fault two : symbols) {
                assertTrue(played.contains(named(site, List.of(one, two))), () -> "missing: " + one + ", " + two);
            }
        }
        assertTrue(played.contains(""), "the day on which nothing happens");
    }

    /** Guards: a request that is left out changes no draw of the others, or counterexamples could not shrink. */
    @Test
    void leavingARequestOutChangesNoDraw() {
        Draw draw = new Draw(7);
        double before = draw.unit(3, 1, 41);
        draw.unit(9, 9, 9);
        assertEquals(before, draw.unit(3, 1, 41));
        List<Ask> asks = load().asks(Texts.site(), 5);
        assertEquals(asks, load().asks(Texts.site(), 5));
    }
}
