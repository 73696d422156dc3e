package org.siskindyke.trial.scenario;

import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A router is cut off from all others, both ways, for six seconds. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "partition", summary = "A router is cut off from all others, both ways, for six seconds.")
public final class Partition implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance isolated = trial.randomInstance();
        List<TrialInstance> others =
                trial.instances().stream().filter(i -> i != isolated).toList();
        trial.markFault();
        trial.cutLinks(isolated, others);
        others.forEach(other -> trial.cutLinks(other, List.of(isolated)));
        Trial.sleep(6_000);
        trial.instances().forEach(i -> trial.cutLinks(i, List.of()));
    }
}
