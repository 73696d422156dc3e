package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A router is frozen for five seconds while backend servers do not check grants. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "unchecked-pause",
        summary = "A router is frozen for five seconds while backend servers do not check grants.")
public final class UncheckedPause implements Scenario {
    @Override
    public boolean checksGrants() {
        return false;
    }

    @Override
    public void run(Trial trial) {
        TrialInstance frozen = trial.randomInstance();
        trial.markFault();
        frozen.freezeRouter();
        Trial.sleep(5_000);
        frozen.thawRouter();
    }
}
