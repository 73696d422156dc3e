package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.TableFaults;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;

/** The table answers no requests for eight seconds. */
@AutoService(Scenario.class)
@ScenarioInfo(name = "table-outage", summary = "The table answers no requests for eight seconds.")
public final class TableOutage implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.markFault();
        trial.setTableFaults(new TableFaults(true, 0, 0, 0));
        Trial.sleep(8_000);
        trial.setTableFaults(TableFaults.NONE);
    }
}
