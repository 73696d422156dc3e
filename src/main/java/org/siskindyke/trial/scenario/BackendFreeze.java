package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A backend server that checks grants is frozen for nine seconds. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "backend-freeze",
        summary = "A backend server that checks grants is frozen for nine seconds.",
        durationMillis = 20_000)
public final class BackendFreeze implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance frozen = trial.randomInstance();
        trial.markFault();
        frozen.freezeBackends();
        Trial.sleep(9_000);
        frozen.thawBackends();
    }
}
