package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.TableFaults;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** An instance is lost while the table is down; the table returns six seconds later. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "crash-during-outage",
        summary = "An instance is lost while the table is down; the table returns six seconds later.",
        durationMillis = 18_000)
public final class CrashDuringOutage implements Scenario {

    @Override
    public void run(Trial trial) {
        trial.setTableFaults(new TableFaults(true, 0, 0, 0));
        Trial.sleep(1_500);
        TrialInstance lost = trial.randomInstance();
        trial.markFault();
        lost.kill();
        Trial.sleep(6_000);
        trial.setTableFaults(TableFaults.NONE);
        Trial.sleep(4_000);
        lost.start();
    }
}
