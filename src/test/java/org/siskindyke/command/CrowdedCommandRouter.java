package org.siskindyke.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskindyke.crowd.CrowdedProcess;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.admin.AdminServer;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.Announcer;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.BackendStandin;
import org.siskindyke.standin.Ledger;
import org.siskindyke.standin.TableStandin;

/** A process of the router command with little memory, beside a table service and a backend server in this JVM. */
final class CrowdedCommandRouter implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final String TARGET = "plain-1";
    private static final int SLOTS = 4;
    private static final String DOCUMENT = """
            service: plain
            team: crowd
            match:
              hosts: [127.0.0.1]
              pathPrefix: /p
            keys:
              divided: false
            targets:
              - name: plain-1
                failureDomain: a
                slots: 4
                connections: 20
            calls:
              timeoutMillis: 3000
              idempotentMethods: [GET]
              idempotentPaths: []
              retryBudgetPercent: 10
              queueLength: 64
              queueMillis: 1000
              resendWindowSeconds: 60
            balance:
              unavailableTimeWeight: 0.8
              churnWeight: 0.2
            """;

    private final TableStandin table = new TableStandin(HOST, 0);
    private final BackendStandin backend =
            new BackendStandin(TARGET, HOST, 0, SLOTS, false, BackendFaults.NONE, new Ledger(null));
    private final CrowdedProcess process;
    private final Announcer announcer;

    /** Starts the process and waits until it answers. */
    CrowdedCommandRouter() throws IOException, InterruptedException {
        process = new CrowdedProcess(
                Main.class.getName(),
                List.of(
                        "router",
                        "--instance",
                        "crowded",
                        "--failure-domain",
                        "a",
                        "--table",
                        HOST + ":" + table.port(),
                        "--grantors",
                        "table",
                        "--caller-port",
                        "0",
                        "--peer-port",
                        "0",
                        "--admin-port",
                        "0"),
                Map.of());
        MemberAddress address = Json.read(process.awaitOutput("{"), MemberAddress.class);
        announcer = new Announcer(
                HOST, address.adminPort(), "plain", new AdminServer.Announcement(TARGET, HOST, backend.port(), false));
        announcer.start();
        try (AdminClient admin = new AdminClient(HOST, address.adminPort())) {
            admin.put(DocumentReader.read(DOCUMENT), 0, "crowd");
        }
        process.awaitReady(
                new InetSocketAddress(HOST, address.callerPort()),
                Set.of(address.callerPort(), address.peerPort(), address.adminPort()));
    }

    CrowdedProcess process() {
        return process;
    }

    @Override
    public void close() {
        announcer.close();
        process.close();
        backend.close();
        table.close();
    }
}
