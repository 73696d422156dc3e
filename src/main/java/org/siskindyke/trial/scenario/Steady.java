package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** Nothing fails. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "steady", summary = "Nothing fails.")
public final class Steady implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.markFault();
    }
}
