package org.siskindyke.runtime;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.kernel.call.AdmissionCounts;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.TargetChoice;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** What operators see of the choices of targets. */
class TargetChoiceRecordsTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final List<TargetChoice> CHOICES = List.of(
            new TargetChoice(ServiceName.of("s"), Distance.SAME_DOMAIN, true, 100),
            new TargetChoice(ServiceName.of("s"), Distance.SAME_DOMAIN, false, 0),
            new TargetChoice(ServiceName.of("s"), Distance.OTHER_REGION, true, 300));

    @Example
    void metricsCountChoicesByDistance() {
        RouterMetrics metrics = new RouterMetrics();
        CHOICES.forEach(metrics::onTargetChosen);
        metrics.start(() -> 0, () -> 0, () -> 0, () -> 0, () -> 0, () -> 0, () -> 0, () -> 0);
        CHOICES.forEach(metrics::onTargetChosen);
        HttpExchange.Response[] response = new HttpExchange.Response[1];
        metrics.handler()
                .handle(
                        new HttpExchange.Request("GET", "/metrics", List.of(), new byte[0], null),
                        r -> response[0] = r);
        String text = new String(response[0].body(), StandardCharsets.UTF_8);
        assertTrue(text.contains("siskindyke_target_choices_total{distance=\"SAME_DOMAIN\",service=\"s\"} 2.0"), text);
        assertTrue(text.contains("siskindyke_target_report_age_seconds_count{service=\"s\"} 2"), text);
    }

    /** Guards against a log line per request. */
    @Example
    void theLogSumsUpChoicesByService() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        RequestLog log = new RequestLog(new EventLog("i", new PrintStream(out, true, StandardCharsets.UTF_8)), () -> 0);
        CHOICES.forEach(log::onTargetChosen);
        log.flush(0, AdmissionCounts.NONE);
        long endNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (out.size() == 0) {
            assertTrue(System.nanoTime() < endNanos, "no log line was written");
            Thread.onSpinWait();
        }
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.contains("\"sameDomain\":2,\"sameRegion\":0,\"otherRegion\":1,\"reported\":2,"
                        + "\"meanReportAgeMillis\":200"),
                text);
        assertTrue(text.lines().count() == 1, text);
    }
}
