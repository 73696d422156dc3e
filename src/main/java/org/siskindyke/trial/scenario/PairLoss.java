package org.siskindyke.trial.scenario;

import java.util.ArrayList;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** The instances of a member and of the grantor of its lease are lost at the same time. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "pair-loss",
        summary = "The instances of a member and of the grantor of its lease are lost at the same time.")
public final class PairLoss implements Scenario {

    @Override
    public void run(Trial trial) {
        List<TrialInstance> lost = new ArrayList<>();
        lost.add(trial.randomInstance());
        trial.grantorOf(lost.get(0)).ifPresent(lost::add);
        trial.markFault();
        lost.parallelStream().forEach(TrialInstance::kill);
        Trial.sleep(6_000);
        lost.parallelStream().forEach(TrialInstance::start);
    }
}
