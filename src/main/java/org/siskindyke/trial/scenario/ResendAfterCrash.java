package org.siskindyke.trial.scenario;

import com.google.auto.service.AutoService;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.ScenarioInfo;
import org.siskindyke.trial.Trial;
import org.siskindyke.trial.TrialInstance;

/** An instance is lost while most calls are not idempotent; callers retry them. */
@AutoService(Scenario.class)
@ScenarioInfo(
        name = "resend-after-crash",
        summary = "An instance is lost while most calls are not idempotent; callers retry them.")
public final class ResendAfterCrash implements Scenario {
    private static final int ORDER_PERCENT = 80;

    @Override
    public int orderPercent() {
        return ORDER_PERCENT;
    }

    @Override
    public void run(Trial trial) {
        TrialInstance lost = trial.randomInstance();
        trial.markFault();
        lost.kill();
        Trial.sleep(6_000);
        lost.start();
    }
}
