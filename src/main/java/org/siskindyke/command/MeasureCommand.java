package org.siskindyke.command;

import java.io.PrintStream;

import com.google.auto.service.AutoService;
import org.siskindyke.measure.Measurements;

/** Measures the cost of the control protocol at growing cluster sizes. */
@AutoService(Command.class)
public final class MeasureCommand implements Command {
    @Override
    public String name() {
        return "measure";
    }

    @Override
    public String summary() {
        return "measures state, messages and CPU time of the control protocol at growing sizes; see scripts/measure";
    }

    @Override
    public Flags flags() {
        return new Flags();
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        new Measurements(out).all();
        return 0;
    }
}
