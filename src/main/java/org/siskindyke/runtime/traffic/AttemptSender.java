package org.siskindyke.runtime.traffic;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Reply;

/**
 * Sends calls to the dispatcher of this router or of another, and counts those in flight. Confined to the traffic loop.
 */
final class AttemptSender {
    private final Supplier<MemberId> self;
    private final PeerNetwork peers;
    private final BackendDispatcher dispatcher;

    AttemptSender(Supplier<MemberId> self, PeerNetwork peers, BackendDispatcher dispatcher) {
        this.self = self;
        this.peers = peers;
        this.dispatcher = dispatcher;
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @param member the member to send it to
     * @param load counts the call until it has ended
     * @param onReply receives the reply, possibly before this method returns
     * @return cancels the call; {@link Cancellable#NONE} where the reply has already been received
     */
    Cancellable send(Call call, MemberRow member, ReportedTargetLoad load, Consumer<Reply> onReply) {
        load.onSent();
        CallInFlight inFlight = new CallInFlight(load, onReply);
        boolean local = member.id().equals(self.get());
        inFlight.work =
                local ? dispatcher.submit(call, inFlight::onReply) : peers.forward(call, member, 1, inFlight::onReply);
        return inFlight.ended ? Cancellable.NONE : inFlight;
    }

    /** A call in flight. A reply that arrives after its cancellation is dropped. */
    private static final class CallInFlight implements Cancellable {
        private final ReportedTargetLoad load;
        private final Consumer<Reply> onReply;
        private Cancellable work = Cancellable.NONE;
        private boolean ended;

        private CallInFlight(ReportedTargetLoad load, Consumer<Reply> onReply) {
            this.load = load;
            this.onReply = onReply;
        }

        private void onReply(Reply reply) {
            if (!ended) {
                ended = true;
                load.onEnded();
                onReply.accept(reply);
            }
        }

        @Override
        public void cancel() {
            if (!ended) {
                ended = true;
                load.onEnded();
                work.cancel();
            }
        }

        @Override
        public void withdraw() {
            work.withdraw();
        }

        @Override
        public boolean mayHaveRun() {
            return work.mayHaveRun();
        }
    }
}
