package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** All routers are killed at the same time and restarted on their hosts. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "restart-all", summary = "All routers are killed at the same time and restarted on their hosts.")
public final class RestartAll implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.markFault();
        trial.instances().parallelStream().forEach(TrialInstance::killRouter);
        trial.instances().parallelStream().forEach(TrialInstance::startRouter);
    }
}
