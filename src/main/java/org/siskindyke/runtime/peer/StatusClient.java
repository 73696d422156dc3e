package org.siskindyke.runtime.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.runtime.admin.ClusterStatus;
import org.siskindyke.runtime.admin.InstanceStatus;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.wire.StatusRequest;
import org.siskindyke.wire.StatusResponse;

/** Asks other routers what they report of themselves. */
public final class StatusClient {
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    private final PeerClients peers;

    /** Creates a client. */
    public StatusClient(PeerClients peers) {
        this.peers = peers;
    }

    /**
     * What members answered.
     *
     * @param instances reports of those that answered, by instance
     * @param silent those that did not
     */
    public record Replies(List<InstanceStatus> instances, List<ClusterStatus.Silent> silent) {}

    /** Asks all members at once and waits for each no longer than a timeout. */
    public CompletionStage<Replies> requestStatus(List<MemberRow> members) {
        List<CompletableFuture<InstanceStatus>> answers = new ArrayList<>();
        for (MemberRow member : members) {
            answers.add(peers.request(
                            member.address(),
                            PeerPaths.STATUS,
                            new StatusRequest(member.id().value()),
                            TIMEOUT)
                    .map(bytes -> Json.read(
                            WireCodec.decode(bytes, new StatusResponse()).getJson(), InstanceStatus.class))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .exceptionally(failure -> null));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(done -> collect(members, answers));
    }

    private static Replies collect(List<MemberRow> members, List<CompletableFuture<InstanceStatus>> answers) {
        List<InstanceStatus> instances = new ArrayList<>();
        List<ClusterStatus.Silent> silent = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            InstanceStatus status = answers.get(i).join();
            MemberRow member = members.get(i);
            if (status != null) {
                instances.add(status);
            } else {
                silent.add(new ClusterStatus.Silent(
                        member.id().value(),
                        member.failureDomain().value(),
                        member.state().name(),
                        member.grantor().value()));
            }
        }
        instances.sort(Comparator.comparing(InstanceStatus::instance));
        return new Replies(instances, silent);
    }
}
