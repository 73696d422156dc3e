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

/** Requests the status of other routers. */
public final class StatusClient {
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    private final PeerClients peers;

    /** Creates a client that sends its requests over the peer connections. */
    public StatusClient(PeerClients peers) {
        this.peers = peers;
    }

    /**
     * The replies of several members.
     *
     * @param instances status of the members that replied, sorted by instance
     * @param silent members that did not reply in time, as their rows describe them
     */
    public record Replies(List<InstanceStatus> instances, List<ClusterStatus.Silent> silent) {}

    /** Sends requests to all members in parallel; a member whose request fails or times out counts as silent. */
    public CompletionStage<Replies> requestStatus(List<MemberRow> members) {
        List<CompletableFuture<InstanceStatus>> replies = new ArrayList<>();
        for (MemberRow member : members) {
            replies.add(peers.request(
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
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(done -> collect(members, replies));
    }

    private static Replies collect(List<MemberRow> members, List<CompletableFuture<InstanceStatus>> replies) {
        List<InstanceStatus> instances = new ArrayList<>();
        List<ClusterStatus.Silent> silent = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            InstanceStatus status = replies.get(i).join();
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
