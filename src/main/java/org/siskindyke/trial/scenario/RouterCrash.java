package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A router process is killed and immediately restarted on the same host. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "router-crash", summary = "A router process is killed and immediately restarted on the same host.")
public final class RouterCrash implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance lost = trial.randomInstance();
        trial.markFault();
        lost.killRouter();
        lost.startRouter();
    }
}
