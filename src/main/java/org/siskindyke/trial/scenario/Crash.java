package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** An instance is lost; another takes its place six seconds later. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "crash", summary = "An instance is lost; another takes its place six seconds later.")
public final class Crash implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance lost = trial.randomInstance();
        trial.markFault();
        lost.kill();
        Trial.sleep(6_000);
        lost.start();
    }
}
