package barleyspur.expect;

import java.util.ArrayList;
import java.util.List;

/** A sequence of events that a file lays down, for any fleet. */
public record Case(String name, List<Step> steps) {

    /**
     * One event.
     *
     * @param role    of which boxes, null for any
     * @param station of which station, empty for any
     * @param box     of which box by name, empty for any
     * @param count   how many of them; {@link Integer#MAX_VALUE} for all
     * @param toldLeastMs from here to {@code toldMostMs} it is drawn how long after it the list tells
     */
    public record Step(
            Fault.Kind kind,
            Site.Role role,
            String station,
            String box,
            int count,
            double atMs,
            double toldLeastMs,
            double toldMostMs,
            double forMs,
            double size) {}

    /** What happens in this fleet; {@code seed} draws which boxes it strikes and when the list tells. */
    List<Fault> faults(Site site, long seed) {
        Draw draw = new Draw(seed);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            Step s = steps.get(i);
            double told = draw.between(s.toldLeastMs(), s.toldMostMs(), i, 0, 3);
            if (s.kind() == Fault.Kind.STALE || s.kind() == Fault.Kind.PURGE) {
                faults.add(new Fault(s.kind(), -1, s.atMs(), told, s.forMs(), s.size()));
                continue;
            }
            List<Box> fit = new ArrayList<>();
            for (Box b : site.boxes()) {
                if ((s.role() == null || site.role(b) == s.role())
                        && (s.box().isEmpty() || b.uid().equals(s.box()))
                        && (s.station().isEmpty() || site.zones().get(b.zone()).equals(s.station()))) {
                    fit.add(b);
                }
            }
            // Steps that name the same boxes strike the same ones: a drain and its return are one box's.
            int first = fit.isEmpty()
                    ? 0
                    : (int) (draw.unit(
                                    s.role() == null ? -1 : s.role().ordinal(),
                                    s.station().hashCode(),
                                    5)
                            * fit.size());
            for (int k = 0; k < Math.min(s.count(), fit.size()); k++) {
                faults.add(new Fault(
                        s.kind(), fit.get((first + k) % fit.size()).node(), s.atMs(), told, s.forMs(), s.size()));
            }
        }
        return faults;
    }
}
