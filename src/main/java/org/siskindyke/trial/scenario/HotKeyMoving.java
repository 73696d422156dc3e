package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** Keys follow a Zipf distribution of exponent 1, and the hot keys change every eight seconds. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "hot-key-moving",
        summary = "Keys follow a Zipf distribution of exponent 1, and the hot keys change every eight seconds.",
        durationMillis = 40_000)
public final class HotKeyMoving implements Scenario {
    private static final int ROTATIONS = 3;
    private static final int PLACES_PER_ROTATION = 500;
    private static final long ROTATION_MILLIS = 8_000;

    @Override
    public double zipfExponent() {
        return 1;
    }

    @Override
    public void run(Trial trial) {
        trial.markFault();
        for (int i = 1; i <= ROTATIONS; i++) {
            Trial.sleep(ROTATION_MILLIS);
            trial.rotateHotKeys(i * PLACES_PER_ROTATION);
        }
        Trial.sleep(ROTATION_MILLIS);
    }
}
