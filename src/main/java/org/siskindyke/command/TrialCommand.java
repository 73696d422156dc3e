package org.siskindyke.command;

import java.io.File;
import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.trial.Scenario;
import org.siskindyke.trial.TrialMode;
import org.siskindyke.trial.TrialRunner;
import org.siskindyke.trial.TrialSummary;

/** Runs a trial: a scenario with real processes on the loopback interface. */
@AutoService(Command.class)
public final class TrialCommand implements Command {
    private static final int EXIT_UNSAFE = 3;

    @Override
    public String name() {
        return "trial";
    }

    @Override
    public String summary() {
        return "runs a scenario with real processes under faults and checks it against the backend servers' ledgers";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .operands("SCENARIO, or list")
                .required("binary", "executable file of this program")
                .optional("seed", "1", "seed of all random choices")
                .optional("mode", "product", "product, table-leases or fixed-hashing")
                .optional("out", "out/trial", "directory for summary.json, calls.jsonl, ledgers and logs");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        List<Scenario> scenarios = ServiceLoader.load(Scenario.class).stream()
                .map(ServiceLoader.Provider::get)
                .sorted(Comparator.comparing(s -> s.info().name()))
                .toList();
        String name =
                settings.operands().isEmpty() ? "list" : settings.operands().get(0);
        if (name.equals("list")) {
            scenarios.forEach(
                    s -> out.printf("%-22s %s%n", s.info().name(), s.info().summary()));
            return 0;
        }
        Scenario scenario = scenarios.stream()
                .filter(s -> s.info().name().equals(name))
                .findFirst()
                .orElseThrow(() -> new SiskindykeException(
                        ErrorCode.INVALID_SETTING,
                        "unknown scenario '" + name + "'; run 'trial list' for the known ones"));
        TrialMode mode =
                switch (settings.choice("mode", List.of("product", "table-leases", "fixed-hashing"))) {
                    case "table-leases" -> TrialMode.TABLE_LEASES;
                    case "fixed-hashing" -> TrialMode.FIXED_HASHING;
                    default -> TrialMode.PRODUCT;
                };
        TrialSummary summary = new TrialRunner(
                        settings.text("binary"),
                        scenario,
                        settings.number("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                        mode,
                        new File(settings.text("out")))
                .run();
        out.println(Json.write(summary));
        return summary.isSafe() ? 0 : EXIT_UNSAFE;
    }
}
