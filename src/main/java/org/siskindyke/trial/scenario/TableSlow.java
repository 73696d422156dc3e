package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.TableFaults;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** The table takes 400 ms to answer, and an instance is lost. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "table-slow", summary = "The table takes 400 ms to answer, and an instance is lost.")
public final class TableSlow implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.setTableFaults(new TableFaults(false, 400, 0, 0));
        Trial.sleep(2_000);
        trial.markFault();
        TrialInstance lost = trial.randomInstance();
        lost.kill();
        Trial.sleep(6_000);
        trial.setTableFaults(TableFaults.NONE);
        lost.start();
    }
}
