package org.siskindyke.command;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.auto.service.AutoService;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.runtime.Logging;
import org.siskindyke.runtime.RouterProcess;
import org.siskindyke.runtime.RouterSettings;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.admin.InstanceStatus;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.BackendStandin;
import org.siskindyke.standin.Ledger;
import org.siskindyke.trial.SliceCounts;

/** Runs four routers with backend stand-ins in one process and shows calls, a graceful leave and a loss. */
@AutoService(Command.class)
public final class DemoCommand implements Command {
    private static final List<String> DOMAINS = List.of("kalna", "katwa", "memari", "guskara");
    private static final List<String> SERVICES = List.of("haat", "bayna", "bhati");
    private static final int SLOTS = 12;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long MAX_RECOVERY_MILLIS = 4_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int KEY_COUNT = 64;

    private final List<Instance> instances = new ArrayList<>();

    private record Instance(
            String name, RouterProcess router, List<BackendStandin> backends, AdminClient admin, HttpClient caller) {
        private void stop() {
            router.close();
            backends.forEach(BackendStandin::close);
        }
    }

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "runs routers and backend stand-ins in one process and shows a graceful leave and a loss";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .toggle("keep", "keeps running until interrupted, for calls with curl")
                .toggle("logs", "prints the routers' log");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws Exception {
        if (!settings.isOn("logs")) {
            Logging.configure(java.util.Map.of("SISKINDYKE_LOG_LEVEL", "OFF"));
        }
        TableService table = new EmbeddedTable();
        for (String domain : DOMAINS) {
            instances.add(start(domain, table));
        }
        out.println("1. Started one router and three backend servers in each of " + DOMAINS + ".");
        for (String service : SERVICES) {
            instances.get(0).admin().put(example(service), 0, "demo");
        }
        await("slices to be owned evenly", this::isBalanced);
        out.println("2. Put the documents of " + SERVICES + "; owners of the 64 slices of haat:");
        printOwners(out);
        showCalls(out);
        showLeave(out);
        boolean recovered = showLoss(out);
        if (settings.isOn("keep")) {
            Instance first = instances.get(0);
            out.println("Running; try: curl -i http://127.0.0.1:"
                    + first.router().address().callerPort()
                    + "/haat/crock-7   and   siskindyke status --admin 127.0.0.1:"
                    + first.router().address().adminPort());
            new CountDownLatch(1).await();
        }
        instances.forEach(Instance::stop);
        out.println(recovered ? "Done." : "Done, but recovery took too long.");
        return recovered ? 0 : 1;
    }

    private static Instance start(String domain, TableService table) {
        RouterProcess router = new RouterProcess(RouterSettings.onFreePorts(domain + "-1", domain), table);
        router.start();
        List<BackendStandin> backends = new ArrayList<>();
        for (String service : SERVICES) {
            String target = service + "-" + (DOMAINS.indexOf(domain) + 1);
            BackendStandin backend =
                    new BackendStandin(target, "127.0.0.1", 0, SLOTS, true, BackendFaults.NONE, new Ledger(null));
            backends.add(backend);
            router.announce(new TargetAnnouncement(
                    ServiceName.of(service), TargetName.of(target), "127.0.0.1", backend.port(), true, true));
        }
        AdminClient admin = new AdminClient("127.0.0.1", router.address().adminPort());
        HttpClient caller = Http.client("127.0.0.1", router.address().callerPort(), Http.Protocol.HTTP_1_1);
        return new Instance(domain + "-1", router, backends, admin, caller);
    }

    private void showCalls(PrintStream out) {
        out.println("3. Calls, each sent to a router that does not necessarily own the key:");
        for (int i = 0; i < DOMAINS.size(); i++) {
            String path = "/haat/crock-" + i;
            HttpResponse response = call(instances.get(i), path);
            out.println("   GET " + path + " at " + instances.get(i).name() + " -> "
                    + response.status().code() + " "
                    + response.headers().get(Headers.VERDICT) + " "
                    + response.payloadBody().toString(StandardCharsets.UTF_8));
        }
        HttpResponse order = call(instances.get(0), "/bayna/orders");
        out.println("   GET /bayna/orders -> " + order.status().code() + " "
                + order.payloadBody().toString(StandardCharsets.UTF_8));
    }

    private void showLeave(PrintStream out) throws Exception {
        Instance leaving = instances.remove(3);
        long startMillis = System.currentTimeMillis();
        leaving.router().leave().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        out.println("4. " + leaving.name() + " left gracefully in " + (System.currentTimeMillis() - startMillis)
                + " ms; its slices were handed over first:");
        leaving.stop();
        await("slices to be owned evenly by three routers", this::isBalanced);
        printOwners(out);
    }

    private boolean showLoss(PrintStream out) throws InterruptedException {
        Instance lost = instances.remove(2);
        long startMillis = System.currentTimeMillis();
        lost.stop();
        out.println("5. " + lost.name() + " stops without leaving. Calling all keys until each is served again:");
        for (int key = 0; key < KEY_COUNT; key++) {
            String path = "/haat/crock-" + key;
            await(
                    "key " + key + " to be served",
                    () -> call(instances.get(0), path).status().code() == 200);
        }
        long tookMillis = System.currentTimeMillis() - startMillis;
        out.println("   all " + KEY_COUNT + " keys served again after " + tookMillis + " ms (bound "
                + MAX_RECOVERY_MILLIS + " ms)");
        printOwners(out);
        return tookMillis <= MAX_RECOVERY_MILLIS;
    }

    private boolean isBalanced() {
        List<Integer> counts = instances.stream()
                .map(i -> i.admin().instance().slices().getOrDefault("haat", 0))
                .toList();
        return SliceCounts.areBalanced(counts, KEY_COUNT);
    }

    private void printOwners(PrintStream out) {
        for (Instance instance : instances) {
            InstanceStatus status = instance.admin().instance();
            out.println("   " + status.instance() + ": " + status.slices() + ", lease renewed by " + status.grantor());
        }
    }

    private static HttpResponse call(Instance instance, String path) {
        try {
            return instance.caller()
                    .request(instance.caller().get(path))
                    .toFuture()
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SiskindykeException(ErrorCode.INTERNAL, "interrupted", e);
        } catch (Exception e) {
            throw new SiskindykeException(ErrorCode.PEER_UNAVAILABLE, "call to " + instance.name() + " failed", e);
        }
    }

    private interface Condition {
        boolean isMet();
    }

    private static void await(String description, Condition condition) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (!condition.isMet()) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new SiskindykeException(ErrorCode.INTERNAL, "timed out waiting for " + description);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static ServiceDocument example(String service) throws IOException {
        try (InputStream text = DemoCommand.class.getResourceAsStream("/examples/" + service + ".yaml")) {
            return DocumentReader.read(new String(text.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
