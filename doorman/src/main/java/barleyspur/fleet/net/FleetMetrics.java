package barleyspur.fleet.net;

import barleyspur.doorman.Clock;
import barleyspur.fleet.Change;
import barleyspur.fleet.Membership;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Metrics of the fleet view in Micrometer, exported in the Prometheus text format. */
final class FleetMetrics {

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Counter sent = registry.counter("fleet.datagrams", "way", "sent");
    private final Counter sentBytes = registry.counter("fleet.bytes", "way", "sent");
    private final Counter received = registry.counter("fleet.datagrams", "way", "received");
    private final Counter receivedBytes = registry.counter("fleet.bytes", "way", "received");

    void registerGauges(Membership membership, Clock clock) {
        Gauge.builder("fleet.members", membership, Membership::memberCount).register(registry);
        Gauge.builder("fleet.in.doubt", membership, v -> v.isInDoubt(clock.nowMs()) ? 1 : 0)
                .register(registry);
        Gauge.builder("fleet.stood.still", membership, v -> v.counters().pauses())
                .register(registry);
        Gauge.builder("fleet.refutations", membership, v -> v.counters().refutations())
                .register(registry);
        Gauge.builder("fleet.own.doubts", membership, v -> v.counters().localHealthScore())
                .register(registry);
    }

    MeterRegistry registry() {
        return registry;
    }

    void countSent(int bytes) {
        sent.increment();
        sentBytes.increment(bytes);
    }

    void countReceived(int bytes) {
        received.increment();
        receivedBytes.increment(bytes);
    }

    void countRejected(String cause) {
        registry.counter("fleet.datagrams.refused", "cause", cause).increment();
    }

    void countChange(Change change) {
        registry.counter("fleet.changes", "kind", change.getClass().getSimpleName())
                .increment();
    }

    String scrape() {
        return registry.scrape();
    }
}
