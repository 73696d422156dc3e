package org.siskindyke.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.RowKnowledge;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.DepartedTargets;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Records in the table which backend servers beside this router have left or are leaving, so that the next process of
 * the instance knows it, too. A departure is acknowledged only once it is recorded. Confined to the control thread.
 */
final class TargetDepartures {
    /** Time after which an acknowledgement is refused; backend servers wait for one second. */
    private static final long MAX_WAIT_MILLIS = 900;

    private final InstanceSettings settings;
    private final MonotonicClock clock;
    private final EventLog log;
    private final DepartedTargets departed = new DepartedTargets();
    private final Deque<Acknowledgement> waiting = new ArrayDeque<>();
    private RowKnowledge knowledge = RowKnowledge.INCOMPLETE;
    /** Change count of the member directory as of which the departures of earlier processes were read. */
    private long readAsOfChanges = -1;

    private record Acknowledgement(
            TargetDeparture departure,
            long sinceMillis,
            Runnable onRecorded,
            Consumer<SiskindykeException> onUnrecorded) {}

    TargetDepartures(InstanceSettings settings, MonotonicClock clock, EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
    }

    /** Returns whether the departures that earlier processes of the instance recorded are known. */
    boolean areKnown() {
        return knowledge != RowKnowledge.INCOMPLETE;
    }

    /** Returns whether a heartbeat comes from an incarnation that is known to have left or to be leaving. */
    boolean contains(TargetHeartbeat heartbeat) {
        return departed.contains(heartbeat);
    }

    /** Returns the departures to record, the latest last. */
    List<TargetDeparture> all() {
        return departed.all();
    }

    /** Records a departure; see {@link #acknowledge} for when this has happened. */
    void record(TargetDeparture departure, MemberController member) {
        departed.add(departure);
        member.setDepartures(departed.all());
    }

    /**
     * Calls back once a departure is recorded in the table.
     *
     * @param departure the departure
     * @param onRecorded runs once it is recorded, possibly at once
     * @param onUnrecorded receives an error with code {@code TABLE_UNAVAILABLE}, instead, if that takes too long
     */
    void acknowledge(
            TargetDeparture departure,
            Runnable onRecorded,
            Consumer<SiskindykeException> onUnrecorded,
            MemberController member) {
        if (isRecorded(departure, member)) {
            onRecorded.run();
        } else {
            waiting.add(new Acknowledgement(departure, clock.nowMillis(), onRecorded, onUnrecorded));
        }
    }

    private static boolean isRecorded(TargetDeparture departure, MemberController member) {
        return member.recordedDepartures().stream()
                .anyMatch(recorded -> recorded.appliesTo(departure.target(), departure.startMillis()));
    }

    /**
     * Reads what earlier processes have recorded, and calls back for departures that are recorded by now.
     *
     * @return whether more is known than before about departures of earlier processes
     */
    boolean tick(MemberController member) {
        settleAcknowledgements(member);
        RowKnowledge present = member.rowKnowledge();
        boolean improved = present.compareTo(knowledge) > 0;
        knowledge = improved ? present : knowledge;
        long changes = member.view().members().changeCount();
        if (!areKnown() || !improved && changes == readAsOfChanges) {
            return false;
        }
        readAsOfChanges = changes;
        List<TargetDeparture> before = departed.all();
        MemberAddress address = member.row().address();
        departed.addEarlier(member.view().members().departures(settings.instance(), address));
        if (!improved && departed.all().equals(before)) {
            return false;
        }
        member.setDepartures(departed.all());
        log.event("departures-read", "knowledge", knowledge, "departures", departed.all());
        return true;
    }

    private void settleAcknowledgements(MemberController member) {
        long nowMillis = clock.nowMillis();
        waiting.removeIf(acknowledgement -> {
            long waitedMillis = nowMillis - acknowledgement.sinceMillis();
            TargetDeparture departure = acknowledgement.departure();
            if (isRecorded(departure, member)) {
                log.event("departure-recorded", "target", departure.target(), "waitedMillis", waitedMillis);
                acknowledgement.onRecorded().run();
                return true;
            }
            if (waitedMillis >= MAX_WAIT_MILLIS) {
                acknowledgement
                        .onUnrecorded()
                        .accept(new SiskindykeException(
                                ErrorCode.TABLE_UNAVAILABLE,
                                "the departure of " + departure.target() + " is not recorded yet"));
                return true;
            }
            return false;
        });
    }
}
