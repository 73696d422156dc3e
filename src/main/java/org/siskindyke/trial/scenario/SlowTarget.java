package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** One of the backend servers is five times slower than the others. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "slow-target",
        summary = "One of the backend servers is five times slower than the others.",
        durationMillis = 30_000)
public final class SlowTarget implements Scenario {
    private static final int SLOWDOWN_FACTOR = 5;

    @Override
    public long workMillis(int instance, long defaultMillis) {
        return instance == 0 ? defaultMillis * SLOWDOWN_FACTOR : defaultMillis;
    }

    @Override
    public void run(Trial trial) {
        trial.markFault();
        Trial.sleep(24_000);
    }
}
