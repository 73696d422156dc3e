package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** A backend server truncates its answers for four seconds, then answers with the ids of other calls. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "cut-answers",
        summary = "A backend server truncates its answers for four seconds, then answers with the ids of other calls.")
public final class CutAnswers implements Scenario {
    private static final long WORK_MILLIS = 4;

    @Override
    public void run(Trial trial) {
        TrialInstance faulty = trial.randomInstance();
        trial.markFault();
        trial.setBackendFaults(faulty, new BackendFaults(WORK_MILLIS, false, true, false, true));
        Trial.sleep(4_000);
        trial.setBackendFaults(faulty, new BackendFaults(WORK_MILLIS, false, false, true, true));
        Trial.sleep(4_000);
        trial.setBackendFaults(faulty, new BackendFaults(WORK_MILLIS, false, false, false, true));
    }
}
