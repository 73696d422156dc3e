package org.siskindyke.runtime;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.admin.AdminOperations;
import org.siskindyke.runtime.admin.AdminServer;
import org.siskindyke.runtime.admin.ClusterStatus;
import org.siskindyke.runtime.admin.DocumentStore;
import org.siskindyke.runtime.admin.InstanceStatus;
import org.siskindyke.runtime.peer.LinkFaults;
import org.siskindyke.runtime.peer.PeerClients;
import org.siskindyke.runtime.peer.StatusClient;

/** Implements the operations of the administration API on a {@link RouterProcess}. */
final class RouterAdminOperations implements AdminOperations {
    private final RouterProcess router;
    private final ControlThread control;
    private final LinkFaults faults;
    private final PrometheusMeterRegistry registry;
    private final boolean faultInjection;
    private final DocumentStore documents;
    private final StatusClient statusClient;
    private final AdminServer server;

    RouterAdminOperations(
            RouterProcess router,
            ControlThread control,
            MonotonicClock clock,
            TableService table,
            PeerClients peers,
            LinkFaults faults,
            PrometheusMeterRegistry registry,
            RouterSettings settings) {
        this.router = router;
        this.control = control;
        this.faults = faults;
        this.registry = registry;
        this.faultInjection = settings.faultInjection();
        this.documents =
                new DocumentStore(control, table, () -> router.incarnation().controller());
        this.statusClient = new StatusClient(peers);
        this.server = new AdminServer(this);
    }

    AdminServer server() {
        return server;
    }

    @Override
    public DocumentStore documents() {
        return documents;
    }

    @Override
    public void announce(TargetAnnouncement announcement) {
        router.announce(announcement);
    }

    @Override
    public void withdraw(ServiceName service) {
        router.withdraw(service);
    }

    @Override
    public CompletionStage<Optional<TargetAnnouncement>> target(ServiceName service) {
        return control.submit(() -> router.target(service));
    }

    @Override
    public CompletionStage<InstanceStatus> instanceStatus() {
        return control.submit(router::status);
    }

    @Override
    public CompletionStage<ClusterStatus> clusterStatus() {
        CompletableFuture<List<MemberRow>> members = control.submit(() ->
                List.copyOf(router.incarnation().controller().view().members().serving()));
        return members.thenCompose(statusClient::requestStatus)
                .thenCombine(control.submit(this::localView), this::combine);
    }

    /** Revisions of the documents and numbers of unassigned slices, by service, in this router's copy of the table. */
    private record LocalView(Map<String, Long> documents, Map<String, Integer> unassigned) {}

    private LocalView localView() {
        ClusterView view = router.incarnation().controller().view();
        Map<String, Long> documents = new TreeMap<>();
        Map<String, Integer> unassigned = new TreeMap<>();
        view.documents().all().forEach(a -> {
            ServiceName service = a.document().service();
            documents.put(service.value(), a.documentRevision());
            int slices = view.unassigned(service).slices().size();
            if (slices > 0) {
                unassigned.put(service.value(), slices);
            }
        });
        return new LocalView(documents, unassigned);
    }

    private ClusterStatus combine(StatusClient.Replies replies, LocalView localView) {
        return new ClusterStatus(replies.instances(), replies.silent(), localView.documents(), localView.unassigned());
    }

    @Override
    public String metricsPage() {
        return registry.scrape();
    }

    @Override
    public boolean cutLinks(List<Integer> peerPorts) {
        if (faultInjection) {
            faults.setCutPorts(java.util.Set.copyOf(peerPorts));
        }
        return faultInjection;
    }
}
