package org.siskindyke.command;

import java.io.PrintStream;

import com.google.auto.service.AutoService;
import org.siskindyke.measure.Measurements;

/** Measures the cost of control at growing sizes. */
@AutoService(Command.class)
public final class MeasureCommand implements Command {
    @Override
    public String name() {
        return "measure";
    }

    @Override
    public String summary() {
        return "measures state, messages and processor time of control at growing sizes; see scripts/measure";
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
