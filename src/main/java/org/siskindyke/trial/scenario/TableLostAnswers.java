package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.TableFaults;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** Half of all writes take effect without an answer, and an instance is lost. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "table-lost-answers",
        summary = "Half of all writes take effect without an answer, and an instance is lost.")
public final class TableLostAnswers implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.setTableFaults(new TableFaults(false, 0, 50, 0));
        Trial.sleep(1_000);
        trial.markFault();
        TrialInstance lost = trial.randomInstance();
        lost.kill();
        Trial.sleep(7_000);
        trial.setTableFaults(TableFaults.NONE);
        lost.start();
    }
}
