package org.siskindyke.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.LevelUsagePolicy;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.ControlContext;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.control.LoadSource;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.PeerMessenger;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;

/**
 * A cluster of member controllers in one process, on a virtual clock. Links deliver each message at once or lose it;
 * messages of leases and gossip are encoded and decoded by the production codec.
 */
final class VirtualCluster {
    static final int DOMAINS = 18;
    static final long TICK_MILLIS = 25;

    private final EmbeddedTable table = new EmbeddedTable();
    private final Map<MemberId, MemberController> controllers = new HashMap<>();
    private final List<MemberController> tickOrder = new ArrayList<>();
    private final CountingTable countingTable = new CountingTable(table);
    private final Random random;
    private final int lossPercent;
    private long nowMillis;
    private long messages;
    private long bytes;

    VirtualCluster(long seed, int lossPercent) {
        this.random = new Random(seed);
        this.lossPercent = lossPercent;
    }

    CountingTable table() {
        return countingTable;
    }

    List<MemberController> controllers() {
        return tickOrder;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    long nowMillis() {
        return nowMillis;
    }

    void resetCounts() {
        messages = 0;
        bytes = 0;
        countingTable.reset();
    }

    void add(int index) {
        int domain = index % DOMAINS;
        InstanceName instance = InstanceName.of("i" + index);
        MemberId self = MemberId.of(instance, 1);
        ControlContext context = new ControlContext(
                self,
                ControlSettings.DEFAULT,
                () -> nowMillis,
                new Random(random.nextLong()),
                countingTable.newMemberTable(),
                new Link(self),
                exception -> {
                    throw exception;
                },
                new ClusterView());
        MemberRow template = new MemberRow(
                self,
                instance,
                FailureDomain.of("d" + domain),
                new MemberAddress("10.0.0.1", 8081, 8080, 8082),
                MemberState.ALIVE,
                0,
                MemberId.TABLE,
                List.of(),
                null,
                null,
                List.of());
        MemberController controller =
                new MemberController(context, template, new IdleTraffic(), LoadSource.NONE, new LevelUsagePolicy());
        controllers.put(self, controller);
        tickOrder.add(controller);
    }

    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            step();
        }
    }

    void step() {
        nowMillis += TICK_MILLIS;
        tickOrder.forEach(MemberController::tick);
    }

    private void count(byte[] encoded) {
        messages++;
        bytes += encoded.length;
    }

    /** Sends the messages of one member. */
    private final class Link implements PeerMessenger {
        private final MemberId self;

        private Link(MemberId self) {
            this.self = self;
        }

        private MemberController receiverOf(MemberRow to) {
            boolean lost = lossPercent > 0 && random.nextInt(100) < lossPercent;
            return lost ? null : controllers.get(to.id());
        }

        @Override
        public void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply) {
            byte[] request = WireMapper.encode(renewal);
            count(request);
            MemberController peer = receiverOf(to);
            if (peer != null) {
                byte[] reply = WireMapper.encode(peer.onRenewal(WireMapper.decodeRenewal(request)));
                count(reply);
                onReply.accept(WireMapper.decodeRenewalReply(reply));
            }
        }

        @Override
        public void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply) {
            byte[] request = WireMapper.encodeGossipRequest(gossip);
            count(request);
            MemberController peer = receiverOf(to);
            if (peer != null) {
                byte[] reply = WireMapper.encodeGossipResponse(peer.onGossip(WireMapper.decodeGossip(request)));
                count(reply);
                onReply.accept(WireMapper.decodeGossip(to.id(), reply));
            }
        }

        @Override
        public void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply) {
            MemberController peer = receiverOf(to);
            if (peer != null) {
                peer.usage(service).ifPresent(onReply);
            }
        }

        @Override
        public void release(MemberRow to, Release release) {
            MemberController peer = receiverOf(to);
            if (peer != null) {
                peer.onRelease(release);
            }
        }

        @Override
        public String toString() {
            return self.value();
        }
    }

    /** Returns whether a member has applied all changes up to a version. */
    static boolean hasVersion(MemberController controller, long version) {
        return controller.view().replica().version() >= version;
    }

    /** Returns the encoded size of changes, in bytes. */
    static int bytesOf(TableChanges changes) {
        return WireCodec.encode(WireMapper.toWire(changes)).length;
    }
}
