package org.siskindyke.trial.scenario;

import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** Messages from one router to all others are lost for six seconds; those to it arrive. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "one-way",
        summary = "Messages from one router to all others are lost for six seconds; those to it arrive.")
public final class OneWay implements Scenario {

    @Override
    public void run(Trial trial) {
        TrialInstance cut = trial.randomInstance();
        List<TrialInstance> others =
                trial.instances().stream().filter(i -> i != cut).toList();
        trial.markFault();
        trial.cutLinks(cut, others);
        Trial.sleep(6_000);
        trial.cutLinks(cut, List.of());
    }
}
