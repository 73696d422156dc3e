package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A router is killed while backend servers do not check grants. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "unchecked-crash", summary = "A router is killed while backend servers do not check grants.")
public final class UncheckedCrash implements Scenario {
    @Override
    public boolean checksGrants() {
        return false;
    }

    @Override
    public void run(Trial trial) {
        TrialInstance lost = trial.randomInstance();
        trial.markFault();
        lost.killRouter();
        Trial.sleep(6_000);
        lost.startRouter();
    }
}
