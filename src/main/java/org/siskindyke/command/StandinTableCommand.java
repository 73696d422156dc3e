package org.siskindyke.command;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

import com.google.auto.service.AutoService;
import org.siskindyke.standin.TableStandin;

/** Runs the stand-in for the table service. */
@AutoService(Command.class)
public final class StandinTableCommand implements Command {
    @Override
    public String name() {
        return "standin table";
    }

    @Override
    public String summary() {
        return "runs a stand-in for the table service; PUT /faults sets faults, GET /stats returns counts";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .optional("host", "127.0.0.1", "address to listen on")
                .optional("port", "7000", "TCP port; 0 for any free port");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws Exception {
        TableStandin table = new TableStandin(settings.text("host"), settings.port("port"));
        out.println("{\"port\":" + table.port() + "}");
        out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
