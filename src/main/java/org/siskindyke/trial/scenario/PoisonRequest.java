package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** One request crashes each backend server that runs it, and its caller retries it repeatedly. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "poison-request",
        summary = "One request crashes each backend server that runs it, and its caller retries it repeatedly.",
        durationMillis = 20_000)
public final class PoisonRequest implements Scenario {
    private static final int ATTEMPTS = 40;
    private static final long INTERVAL_MILLIS = 400;

    @Override
    public void run(Trial trial) {
        trial.markFault();
        for (int i = 0; i < ATTEMPTS; i++) {
            trial.sendMarkedRequest();
            Trial.sleep(INTERVAL_MILLIS);
        }
    }
}
