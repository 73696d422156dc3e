package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** Three times as many calls arrive as the backend servers can run. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "overload", summary = "Three times as many calls arrive as the backend servers can run.")
public final class Overload implements Scenario {
    private static final double CAPACITY_PER_SECOND = 480;
    private static final double OVERLOAD_FACTOR = 3;
    private static final long WORK_MILLIS = 200;

    @Override
    public double ratePerSecond() {
        return CAPACITY_PER_SECOND * OVERLOAD_FACTOR;
    }

    @Override
    public long workMillis(int instance, long defaultMillis) {
        return WORK_MILLIS;
    }

    @Override
    public double zipfExponent() {
        return 0;
    }

    @Override
    public int orderPercent() {
        return 0;
    }

    @Override
    public void run(Trial trial) {
        trial.markFault();
        Trial.sleep(8_000);
    }
}
