package org.siskindyke.trial.scenario;

import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** All instances of a failure domain are lost at the same time and restarted six seconds later. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "domain-loss",
        summary = "All instances of a failure domain are lost at the same time and restarted six seconds later.")
public final class DomainLoss implements Scenario {

    @Override
    public void run(Trial trial) {
        String domain = trial.randomInstance().domain();
        List<TrialInstance> lost = trial.instances().stream()
                .filter(i -> i.domain().equals(domain))
                .toList();
        trial.markFault();
        lost.parallelStream().forEach(TrialInstance::kill);
        Trial.sleep(6_000);
        lost.parallelStream().forEach(TrialInstance::start);
    }
}
