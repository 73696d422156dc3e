package org.siskindyke.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.CrashSuspects;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.TargetName;

/**
 * A caller that sends, to random members, requests which end each backend server that runs them, beside harmless
 * requests that are answered elsewhere some time later.
 */
final class CrashStorm {
    private static final int CRASHING_REQUESTS = 10;
    private static final int SENDS_PER_REQUEST = 60;
    private static final int STEPS_PER_SEND = 4;
    /** Steps until a harmless request that ran at a crash is answered by another backend server. */
    private static final int STEPS_TO_ANSWER = 12;

    private static final int RUNNING = 12;
    private static final int MAX_CRASHES = 3;
    private static final long PLATFORM_BOUND_MILLIS = 3_000;
    private static final ClientAccount CALLER = ClientAccount.of("catalogue");

    private final VirtualCluster cluster;
    private final Random random = new Random(1);
    private final Deque<Pending> pending = new ArrayDeque<>();
    private long nextNumber = 1;
    private long step;
    private int crashes;
    private int maxCrashes;
    private int lateRuns;
    private int harmless;
    private int harmlessConvicted;

    /** A harmless request that ran at a crash and is answered at a later step. */
    private record Pending(RequestFingerprint request, long answerStep) {}

    CrashStorm(VirtualCluster cluster) {
        this.cluster = cluster;
    }

    /** The figures of a storm; rates are per crashing request. */
    record Result(int crashes, int maxCrashes, int lateRuns, int harmless, int harmlessConvicted) {}

    Result run() {
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            sendRepeatedly(newRequest());
        }
        return new Result(crashes, maxCrashes, lateRuns, harmless, harmlessConvicted);
    }

    private RequestFingerprint newRequest() {
        return new RequestFingerprint(random.nextLong(), nextNumber++);
    }

    private void sendRepeatedly(RequestFingerprint request) {
        List<Long> crashesMillis = new ArrayList<>();
        for (int i = 0; i < SENDS_PER_REQUEST; i++) {
            MemberController member = randomMember();
            SuspectAssessment assessment = member.view().suspects().assess(request, CALLER, cluster.nowMillis());
            if (!assessment.isConvicted()) {
                boolean late = crashesMillis.size() >= MAX_CRASHES
                        && cluster.nowMillis() - crashesMillis.get(MAX_CRASHES - 1) > PLATFORM_BOUND_MILLIS;
                lateRuns += late ? 1 : 0;
                crashesMillis.add(cluster.nowMillis());
                crash(member, request, assessment.isSuspected());
            }
            for (int j = 0; j < STEPS_PER_SEND; j++) {
                advance();
            }
        }
        crashes += crashesMillis.size();
        maxCrashes = Math.max(maxCrashes, crashesMillis.size());
    }

    private void crash(MemberController member, RequestFingerprint request, boolean suspected) {
        long nowMillis = cluster.nowMillis();
        List<Loss> running = new ArrayList<>();
        running.add(new Loss(request, CALLER, suspected, nowMillis));
        for (int i = 1; i < RUNNING; i++) {
            RequestFingerprint beside = newRequest();
            running.add(new Loss(beside, CALLER, false, nowMillis));
            pending.add(new Pending(beside, step + STEPS_TO_ANSWER));
            harmless++;
        }
        String name = member.row().instance().value();
        member.onCrash(new TargetIncarnation(TargetName.of(name), nowMillis), running);
    }

    private void advance() {
        cluster.step();
        step++;
        while (!pending.isEmpty() && pending.peek().answerStep() <= step) {
            answer(pending.remove().request());
        }
    }

    private void answer(RequestFingerprint request) {
        MemberController member = randomMember();
        CrashSuspects suspects = member.view().suspects();
        harmlessConvicted += suspects.isConvicted(request, cluster.nowMillis()) ? 1 : 0;
        member.onSuspectAnswered(request);
    }

    private MemberController randomMember() {
        return cluster.controllers().get(random.nextInt(cluster.controllers().size()));
    }
}
