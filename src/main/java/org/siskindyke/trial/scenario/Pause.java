package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A router is frozen for longer than its lease. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "pause", summary = "A router is frozen for longer than its lease.")
public final class Pause implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance frozen = trial.randomInstance();
        trial.markFault();
        frozen.freezeRouter();
        Trial.sleep(5_000);
        frozen.thawRouter();
    }
}
