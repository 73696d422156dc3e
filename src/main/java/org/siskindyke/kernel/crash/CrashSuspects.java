package org.siskindyke.kernel.crash;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.siskindyke.kernel.crash.SuspectAssessment.Level;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.TargetName;

/**
 * Decides which requests crash the backend servers that run them, from the crashes that this router and others have
 * seen. A request is convicted once {@value #CONVICT_AFTER_CRASHES} backend servers have ended while they ran it, at
 * least one of them while it ran alone or was the only suspected one, and answers have not cleared it of them since.
 *
 * <p>A caller's request is convicted only if a backend server ended during a run for this caller, or during runs for at
 * least {@value #CONVICT_FOR_ALL_AFTER_CALLERS} others, so that no single caller can get the requests of another
 * refused.
 *
 * <p>Any thread may read; all changes must be made on one thread.
 */
public final class CrashSuspects {
    /** Number of crashes from which on a request is refused. */
    public static final int CONVICT_AFTER_CRASHES = 2;
    /** Number of callers with crashes from which on a convicted request is refused to all callers. */
    static final int CONVICT_FOR_ALL_AFTER_CALLERS = 2;

    /** How long a crash is remembered, in milliseconds. */
    public static final long EVIDENCE_LIFETIME_MILLIS = 600_000;
    /** Largest number of reports in one message to another router. */
    public static final int MAX_REPORTS = 64;

    static final int MAX_REQUESTS = 256;
    static final int MAX_CRASHES_PER_REQUEST = 8;

    /** Replaced as a whole with each change. */
    private volatile Map<RequestFingerprint, Suspect> suspects = Map.of();

    /** One crash, with its time by the monotonic clock. */
    private record Crash(
            TargetIncarnation target, ClientAccount caller, boolean alone, long atMillis, boolean cleared) {
        private boolean counts(long nowMillis) {
            return !cleared && !isExpired(nowMillis);
        }

        private boolean isExpired(long nowMillis) {
            return nowMillis - atMillis >= EVIDENCE_LIFETIME_MILLIS;
        }

        /** Returns this crash with what another report of it says besides. */
        private Crash joinedWith(Crash other) {
            return new Crash(target, caller, alone || other.alone, atMillis, cleared || other.cleared);
        }

        private Crash clear() {
            return new Crash(target, caller, alone, atMillis, true);
        }
    }

    /** A request and its crashes, which have different targets. */
    private record Suspect(RequestFingerprint request, List<Crash> crashes) {
        private boolean isConvicted(long nowMillis) {
            return count(nowMillis) >= CONVICT_AFTER_CRASHES
                    && crashes.stream().anyMatch(crash -> crash.alone() && crash.counts(nowMillis));
        }

        private long count(long nowMillis) {
            return crashes.stream().filter(crash -> crash.counts(nowMillis)).count();
        }

        private long latestMillis() {
            return crashes.stream().mapToLong(Crash::atMillis).max().orElse(Long.MIN_VALUE);
        }
    }

    /** Returns whether there is no evidence against any request; then {@link #assess} always returns {@code NONE}. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the assessment of a caller's request. */
    public SuspectAssessment assess(RequestFingerprint request, ClientAccount caller, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null) {
            return SuspectAssessment.NONE;
        }
        List<Crash> counted = suspect.crashes().stream()
                .filter(crash -> crash.counts(nowMillis))
                .sorted(Comparator.comparingLong(Crash::atMillis).reversed())
                .toList();
        if (counted.isEmpty()) {
            return SuspectAssessment.NONE;
        }
        Level level = level(suspect, counted, caller, nowMillis);
        long retryAfterMillis = level == Level.CONVICTED
                ? counted.get(CONVICT_AFTER_CRASHES - 1).atMillis() + EVIDENCE_LIFETIME_MILLIS - nowMillis
                : 0;
        return new SuspectAssessment(
                counted.stream().map(Crash::target).toList(),
                level,
                nowMillis - counted.get(0).atMillis(),
                retryAfterMillis);
    }

    private static Level level(Suspect suspect, List<Crash> counted, ClientAccount caller, long nowMillis) {
        if (counted.size() < CONVICT_AFTER_CRASHES) {
            return Level.SUSPECTED;
        }
        Set<ClientAccount> callers = counted.stream().map(Crash::caller).collect(Collectors.toSet());
        boolean appliesToCaller = callers.contains(caller) || callers.size() >= CONVICT_FOR_ALL_AFTER_CALLERS;
        return suspect.isConvicted(nowMillis) && appliesToCaller ? Level.CONVICTED : Level.ON_TRIAL;
    }

    /** Returns the names of the backend servers that have ended within a span of time up to now. */
    public Set<TargetName> crashedWithin(long spanMillis, long nowMillis) {
        Set<TargetName> crashed = new HashSet<>();
        for (Suspect suspect : suspects.values()) {
            for (Crash crash : suspect.crashes()) {
                if (nowMillis - crash.atMillis() <= spanMillis) {
                    crashed.add(crash.target().target());
                }
            }
        }
        return crashed;
    }

    /** Returns whether a request is refused to at least one caller. */
    public boolean isConvicted(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        return suspect != null && suspect.isConvicted(nowMillis);
    }

    /** Returns the number of requests that are refused to at least one caller. */
    public int convictedCount(long nowMillis) {
        return (int) suspects.values().stream()
                .filter(suspect -> suspect.isConvicted(nowMillis))
                .count();
    }

    /**
     * Records that a backend server has ended while it ran a request.
     *
     * @param target the backend server
     * @param loss the request
     * @param alone whether it was the only one that was running, or the only suspected one
     * @param nowMillis the present time
     * @return the report to send to other routers
     */
    public SuspectReport onCrash(
            TargetIncarnation target, CrashInvestigation.Loss loss, boolean alone, long nowMillis) {
        CrashEvidence evidence = new CrashEvidence(target, loss.caller(), alone, 0, false);
        SuspectReport report = new SuspectReport(loss.request(), List.of(evidence));
        merge(List.of(report), nowMillis);
        return report;
    }

    /**
     * Clears a request of crashes known so far, since a backend server has answered it: of those at which other
     * requests ran as well, and of the oldest one at which it ran alone. One answer does not outweigh several ends.
     *
     * @return whether there was any evidence against it
     */
    public boolean onAnswered(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null || suspect.count(nowMillis) == 0) {
            return false;
        }
        Optional<Crash> oldest = suspect.crashes().stream()
                .filter(crash -> crash.alone() && crash.counts(nowMillis))
                .min(Comparator.comparingLong(Crash::atMillis));
        List<Crash> crashes = suspect.crashes().stream()
                .map(crash -> crash.alone() && !oldest.filter(crash::equals).isPresent() ? crash : crash.clear())
                .toList();
        put(new Suspect(request, crashes), nowMillis);
        return true;
    }

    /**
     * Adds what another router knows.
     *
     * @param reports the reports; expired evidence in them is ignored
     * @param nowMillis the present time
     * @return the reports that brought evidence against a request which was not known
     */
    public List<SuspectReport> merge(List<SuspectReport> reports, long nowMillis) {
        List<SuspectReport> news = new ArrayList<>();
        for (SuspectReport report : reports) {
            if (merge(report, nowMillis)) {
                news.add(report);
            }
        }
        return news;
    }

    private boolean merge(SuspectReport report, long nowMillis) {
        Suspect known = suspects.get(report.request());
        Map<TargetIncarnation, Crash> crashes = new HashMap<>();
        if (known != null) {
            known.crashes().forEach(crash -> crashes.put(crash.target(), crash));
        }
        boolean isNew = false;
        boolean changed = false;
        for (CrashEvidence evidence : report.crashes()) {
            Crash reported = new Crash(
                    evidence.target(),
                    evidence.caller(),
                    evidence.alone(),
                    nowMillis - evidence.ageMillis(),
                    evidence.cleared());
            Crash present = crashes.get(evidence.target());
            if (present == null && !reported.isExpired(nowMillis) && evidence.ageMillis() >= 0) {
                crashes.put(evidence.target(), reported);
                isNew |= !reported.cleared();
                changed = true;
            } else if (present != null && !present.equals(present.joinedWith(reported))) {
                crashes.put(evidence.target(), present.joinedWith(reported));
                changed = true;
            }
        }
        if (changed) {
            put(new Suspect(report.request(), latest(crashes.values().stream().toList())), nowMillis);
        }
        return isNew;
    }

    private static List<Crash> latest(List<Crash> crashes) {
        return crashes.stream()
                .sorted(Comparator.comparing(Crash::cleared)
                        .thenComparing(Comparator.comparingLong(Crash::atMillis).reversed()))
                .limit(MAX_CRASHES_PER_REQUEST)
                .toList();
    }

    private void put(Suspect suspect, long nowMillis) {
        Map<RequestFingerprint, Suspect> changed = new HashMap<>(suspects);
        changed.put(suspect.request(), suspect);
        if (changed.size() > MAX_REQUESTS) {
            changed.values().stream().min(leastImportantFirst(nowMillis)).ifPresent(s -> changed.remove(s.request()));
        }
        suspects = Map.copyOf(changed);
    }

    private static Comparator<Suspect> leastImportantFirst(long nowMillis) {
        return Comparator.<Suspect>comparingLong(suspect -> suspect.count(nowMillis))
                .thenComparingLong(Suspect::latestMillis)
                .thenComparing(Suspect::request);
    }

    /** Forgets expired evidence. Called every few seconds. */
    public void expire(long nowMillis) {
        boolean anyExpired = suspects.values().stream()
                .anyMatch(suspect -> suspect.crashes().stream().anyMatch(crash -> crash.isExpired(nowMillis)));
        if (!anyExpired) {
            return;
        }
        Map<RequestFingerprint, Suspect> kept = new HashMap<>();
        for (Suspect suspect : suspects.values()) {
            List<Crash> crashes = suspect.crashes().stream()
                    .filter(crash -> !crash.isExpired(nowMillis))
                    .toList();
            if (!crashes.isEmpty()) {
                kept.put(suspect.request(), new Suspect(suspect.request(), crashes));
            }
        }
        suspects = Map.copyOf(kept);
    }

    /** Returns a digest that is the same at routers with the same knowledge. */
    public SuspectDigest digest() {
        if (suspects.isEmpty()) {
            return SuspectDigest.NONE;
        }
        Integer[] buckets = new Integer[SuspectDigest.BUCKETS];
        Arrays.fill(buckets, 0);
        for (Suspect suspect : suspects.values()) {
            for (Crash crash : suspect.crashes()) {
                buckets[SuspectDigest.indexOf(suspect.request())] ^= (int) hash(suspect.request(), crash);
            }
        }
        return new SuspectDigest(List.of(buckets));
    }

    private static long hash(RequestFingerprint request, Crash crash) {
        long target = crash.target().target().value().hashCode() * 31L
                + crash.target().startMillis();
        return mix((request.low() * 31 + target) * 4 + (crash.cleared() ? 1 : 0) + (crash.alone() ? 2 : 0));
    }

    /** Spreads the bits of a number, so that similar ones do not cancel each other out. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        return mixed ^ mixed >>> 33;
    }

    /** Returns what a router with the given digest may lack: convictions first, then the latest. */
    public List<SuspectReport> reportsFor(SuspectDigest theirs, long nowMillis) {
        SuspectDigest mine = digest();
        return suspects.values().stream()
                .filter(suspect -> mine.differsAt(suspect.request(), theirs))
                .sorted(Comparator.<Suspect, Boolean>comparing(suspect -> !suspect.isConvicted(nowMillis))
                        .thenComparing(
                                Comparator.comparingLong(Suspect::latestMillis).reversed()))
                .limit(MAX_REPORTS)
                .map(suspect -> report(suspect, nowMillis))
                .toList();
    }

    /** Returns what this router knows about a request; its list is empty where it knows nothing. */
    public SuspectReport report(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        return suspect == null ? new SuspectReport(request, List.of()) : report(suspect, nowMillis);
    }

    private static SuspectReport report(Suspect suspect, long nowMillis) {
        return new SuspectReport(
                suspect.request(),
                suspect.crashes().stream()
                        .map(crash -> new CrashEvidence(
                                crash.target(),
                                crash.caller(),
                                crash.alone(),
                                nowMillis - crash.atMillis(),
                                crash.cleared()))
                        .toList());
    }
}
