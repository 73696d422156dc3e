package org.siskindyke.command;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;

import com.google.auto.service.AutoService;
import org.siskindyke.soak.SoakPlan;
import org.siskindyke.soak.SoakRun;
import org.siskindyke.soak.SoakTopology;

/** Runs real routers under random faults and checks the invariants. */
@AutoService(Command.class)
public final class SoakCommand implements Command {
    private static final int EXIT_INVARIANT_VIOLATED = 3;
    private static final int MAX_CASES_SHOWN = 5;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MAX_INSTANCES = 150;
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_RUNS = 10_000;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "runs real routers of the users' platform under random faults and checks the invariants";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .optional("seed", "1", "seed of the first run; each further run uses the next seed")
                .optional("runs", "1", "number of runs")
                .optional("instances", "6", "instances, each a router and a backend server")
                .optional("seconds", "15", "period in which faults begin")
                .toggle("hide-keys", "backend servers break the protocol on purpose, to verify that the checks find it")
                .toggle("stutter", "backend servers write responses once more, late, beside other unplanned faults")
                .optional("out", "out/soak", "directory for logs");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws IOException, InterruptedException {
        long firstSeed = settings.number("seed", 0, Long.MAX_VALUE);
        int runs = (int) settings.number("runs", 1, MAX_RUNS);
        int instances = (int) settings.number("instances", 3, MAX_INSTANCES);
        long lengthMillis = settings.number("seconds", 4, MAX_SECONDS) * MILLIS_PER_SECOND;
        int violatingRuns = 0;
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            File directory = new File(settings.text("out"), "seed-" + seed);
            Files.createDirectories(directory.toPath());
            SoakPlan drawn = SoakPlan.draw(seed, instances, lengthMillis);
            SoakPlan stuttering = settings.isOn("stutter") ? drawn.withStutter(instances, lengthMillis) : drawn;
            SoakPlan plan = settings.isOn("hide-keys") ? stuttering.withHiddenKeys() : stuttering;
            SoakRun.Verdict verdict = new SoakRun(SoakTopology.of(instances), plan, directory).run();
            show(seed, verdict, out);
            violatingRuns += verdict.violations().isEmpty() ? 0 : 1;
        }
        out.println(runs + " runs, " + violatingRuns + " with a violated invariant");
        return violatingRuns == 0 ? 0 : EXIT_INVARIANT_VIOLATED;
    }

    private static void show(long seed, SoakRun.Verdict verdict, PrintStream out) {
        out.printf(
                "seed %d: %d faults, %d requests, %d served, %s%n",
                seed,
                verdict.faults(),
                verdict.requests(),
                verdict.served(),
                verdict.violations().isEmpty()
                        ? "all invariants held"
                        : "violated: " + verdict.violations().keySet());
        verdict.violations().forEach((invariant, cases) -> {
            cases.stream().limit(MAX_CASES_SHOWN).forEach(line -> out.println("  " + invariant + ": " + line));
            if (cases.size() > MAX_CASES_SHOWN) {
                out.println("  " + invariant + ": " + (cases.size() - MAX_CASES_SHOWN) + " more");
            }
        });
    }
}
