package barleyspur.expect;

import java.util.ArrayList;
import java.util.List;

/** A sequence of events that a file lays down, for any fleet. */
public record FaultScript(String name, List<ScriptedFault> faults) {

    /**
     * One event.
     *
     * @param role    of which boxes, null for any
     * @param station of which station, empty for any
     * @param box     of which box by name, empty for any
     * @param boxCount   how many of them; {@link Integer#MAX_VALUE} for all
     * @param minListDelayMs from here to {@code toldMostMs} it is drawn how long after it the list tells
     */
    public record ScriptedFault(
            Fault.Kind kind,
            Deployment.Role role,
            String station,
            String box,
            int boxCount,
            double atMs,
            double minListDelayMs,
            double maxListDelayMs,
            double durationMs,
            double magnitude) {}

    /** What happens in this fleet; {@code seed} draws which boxes it strikes and when the list tells. */
    List<Fault> drawFaults(Deployment deployment, long seed) {
        KeyedRandom random = new KeyedRandom(seed);
        List<Fault> drawn = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            ScriptedFault scripted = faults.get(i);
            double listDelayMs = random.uniformBetween(scripted.minListDelayMs(), scripted.maxListDelayMs(), i, 0, 3);
            if (scripted.kind() == Fault.Kind.STALE || scripted.kind() == Fault.Kind.PURGE) {
                drawn.add(new Fault(
                        scripted.kind(),
                        -1,
                        scripted.atMs(),
                        listDelayMs,
                        scripted.durationMs(),
                        scripted.magnitude()));
                continue;
            }
            List<Box> matching = new ArrayList<>();
            for (Box box : deployment.boxes()) {
                if ((scripted.role() == null || deployment.roleOf(box) == scripted.role())
                        && (scripted.box().isEmpty() || box.uid().equals(scripted.box()))
                        && (scripted.station().isEmpty()
                                || deployment
                                        .stationNames()
                                        .get(box.zoneIndex())
                                        .equals(scripted.station()))) {
                    matching.add(box);
                }
            }
            // Steps that name the same boxes strike the same ones: a drain and its return are one box's.
            int first = matching.isEmpty()
                    ? 0
                    : (int) (random.uniform(
                                    scripted.role() == null
                                            ? -1
                                            : scripted.role().ordinal(),
                                    scripted.station().hashCode(),
                                    5)
                            * matching.size());
            for (int k = 0; k < Math.min(scripted.boxCount(), matching.size()); k++) {
                drawn.add(new Fault(
                        scripted.kind(),
                        matching.get((first + k) % matching.size()).nodeId(),
                        scripted.atMs(),
                        listDelayMs,
                        scripted.durationMs(),
                        scripted.magnitude()));
            }
        }
        return drawn;
    }
}
