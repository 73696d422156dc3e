package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** All instances are stopped gracefully and restarted, one after another. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "rolling",
        summary = "All instances are stopped gracefully and restarted, one after another.",
        durationMillis = 45_000)
public final class Rolling implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.markFault();
        for (TrialInstance instance : trial.instances()) {
            instance.stopGracefully();
            instance.start();
            Trial.sleep(1_000);
        }
    }
}
