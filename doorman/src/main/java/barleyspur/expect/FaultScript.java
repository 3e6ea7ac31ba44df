package barleyspur.expect;

import java.util.ArrayList;
import java.util.List;

/** A sequence of faults that a {@code case} block of the expectation files defines, for any deployment. */
public record FaultScript(String name, List<ScriptedFault> faults) {

    /**
     * One fault and the boxes it may affect.
     *
     * @param role           role of the boxes; null for any
     * @param station        station of the boxes; empty for any
     * @param box            name of the box; empty for any
     * @param boxCount       number of affected boxes; {@link Integer#MAX_VALUE} for all
     * @param minListDelayMs minimum delay until the list reports the fault; the delay is chosen at random
     * @param maxListDelayMs maximum of that delay
     * @param magnitude      see {@link Fault#magnitude}
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

    /** The faults in a deployment; {@code seed} determines the affected boxes and the delays of the list. */
    List<Fault> generateFaults(Deployment deployment, long seed) {
        KeyedRandom random = new KeyedRandom(seed);
        List<Fault> generated = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            ScriptedFault scripted = faults.get(i);
            double listDelayMs = random.uniformBetween(scripted.minListDelayMs(), scripted.maxListDelayMs(), i, 0, 3);
            if (scripted.kind() == Fault.Kind.STALE || scripted.kind() == Fault.Kind.PURGE) {
                generated.add(new Fault(
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
            // Faults with the same selection affect the same boxes, so that a return follows the drain of the same box.
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
                generated.add(new Fault(
                        scripted.kind(),
                        matching.get((first + k) % matching.size()).nodeId(),
                        scripted.atMs(),
                        listDelayMs,
                        scripted.durationMs(),
                        scripted.magnitude()));
            }
        }
        return generated;
    }
}
