package org.siskindyke.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.admin.AdminServer;
import org.siskindyke.standin.Announcer;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.BackendStandin;
import org.siskindyke.standin.Ledger;

/** Runs a stand-in for a backend server. */
@AutoService(Command.class)
public final class StandinBackendCommand implements Command {
    private static final int MAX_SLOTS = 100_000;
    private static final long MAX_WORK_MILLIS = 600_000;

    @Override
    public String name() {
        return "standin backend";
    }

    @Override
    public String summary() {
        return "runs and announces a stand-in for a backend server; PUT /faults sets faults, GET /stats counts calls";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .required("service", "service that the stand-in serves")
                .required("target", "target name of the stand-in")
                .required("admin", "address:admin-port of the router beside it")
                .optional("host", "127.0.0.1", "address to listen on")
                .optional("port", "0", "TCP port; 0 for any free port")
                .optional("slots", "12", "maximum number of concurrent calls; further calls are refused")
                .optional("work-millis", "0", "duration of a call")
                .optional("ledger", "", "file to which a line is appended per executed call")
                .toggle("unchecked", "runs calls without checking grants")
                .toggle("crash-on-mark", "crashes on requests whose target contains crash-mark");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws Exception {
        String service = settings.convert("service", ServiceName::of).value();
        String target = settings.convert("target", TargetName::of).value();
        boolean checksGrants = !settings.isOn("unchecked");
        Flags.Endpoint admin = settings.endpoint("admin");
        BackendFaults faults = new BackendFaults(
                settings.number("work-millis", 0, MAX_WORK_MILLIS),
                false,
                false,
                false,
                settings.isOn("crash-on-mark"));
        Ledger ledger = new Ledger(settings.has("ledger") ? Path.of(settings.text("ledger")) : null);
        BackendStandin backend = new BackendStandin(
                target,
                settings.text("host"),
                settings.port("port"),
                (int) settings.number("slots", 1, MAX_SLOTS),
                checksGrants,
                faults,
                ledger);
        Announcer announcer = new Announcer(
                admin.host(),
                admin.port(),
                service,
                new AdminServer.Announcement(target, settings.text("host"), backend.port(), checksGrants));
        backend.setOnDrain(announcer::withdraw);
        announcer.start();
        out.println("{\"port\":" + backend.port() + "}");
        out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
