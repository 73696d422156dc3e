package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A backend server drains while its router keeps running. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "drain", summary = "A backend server drains while its router keeps running.")
public final class Drain implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance drained = trial.randomInstance();
        trial.markFault();
        trial.drainBackends(drained);
        Trial.sleep(5_000);
    }
}
