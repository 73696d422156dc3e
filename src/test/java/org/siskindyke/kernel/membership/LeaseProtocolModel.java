package org.siskindyke.kernel.membership;

import java.util.regex.Pattern;

import org.siskindyke.kernel.id.MemberId;

/**
 * Three members on the real lease classes: X renews at G or H, and G renews at H. Each action is one atomic step; time
 * moves in its own steps, and whatever is in flight may be delivered at any later time or never.
 */
final class LeaseProtocolModel {
    static final LeaseSettings SETTINGS = new LeaseSettings(3, 1, 1, 2);

    private static final MemberId X = MemberId.of("x:1");
    private static final MemberId G = MemberId.of("g:1");
    private static final MemberId H = MemberId.of("h:1");
    private static final long NEVER = -100;
    private static final Pattern EXPIRY = Pattern.compile("expiry=(\\d+)");

    private final BrokenLeases parts;
    private final HolderLease leaseOfX;
    private final HolderLease leaseOfG;
    private final LeaseGrantor grantorG;
    private final LeaseGrantor grantorH;
    private long nowMillis;
    private final Row rowOfX = new Row(G);
    private final Row rowOfG = new Row(H);
    private final Link linkX = new Link();
    private final Link linkG = new Link();
    private MemberId writing;
    private long writeRevision;
    private Boolean writeOutcome;
    private long knownToG = 1;
    private long knownToH;
    private long declaringByG = NEVER;
    private long declaringByH = NEVER;
    private long orphanSinceMillis = NEVER;

    private static final class Row {
        private MemberId grantor;
        private long epoch = 1;
        private long revision = 1;
        private boolean dead;

        private Row(MemberId grantor) {
            this.grantor = grantor;
        }

        @Override
        public String toString() {
            return grantor + "/" + epoch + "/" + revision + "/" + dead;
        }
    }

    /** The one renewal of a member that is in flight, and the one grant. */
    private static final class Link {
        private long request = NEVER;
        private long requestEpoch;
        private MemberId to;
        private long requestSentMillis;
        private long grant = NEVER;
        private long grantEpoch;
        private long grantSentMillis;

        private String describe(long nowMillis) {
            String sent = request == NEVER ? "-" : requestEpoch + "/" + to + "/" + age(requestSentMillis, nowMillis);
            return sent + "/" + (grant == NEVER ? "-" : grantEpoch + "/" + age(grantSentMillis, nowMillis));
        }

        private static long age(long sentMillis, long nowMillis) {
            return Math.min(nowMillis - sentMillis, SETTINGS.leaseMillis());
        }
    }

    LeaseProtocolModel(BrokenLeases parts) {
        this.parts = parts;
        this.leaseOfX = parts.holder();
        this.leaseOfG = parts.holder();
        this.grantorG = parts.grantor(SETTINGS);
        this.grantorH = parts.grantor(SETTINGS);
        leaseOfX.extendOutageBound(Long.MAX_VALUE);
        leaseOfG.extendOutageBound(Long.MAX_VALUE);
        leaseOfX.setGrantor(G, 1, 0);
        leaseOfG.setGrantor(H, 1, 0);
        grantorG.addGrantee(X, 1, 0);
        grantorH.addGrantee(G, 1, 0);
    }

    /** The steps. Each returns whether it was possible. */
    enum Action {
        TIME,
        X_SENDS,
        X_REACHES,
        X_HEARS,
        G_SENDS,
        G_REACHES,
        G_HEARS,
        X_STARTS_REPLACING,
        TABLE_APPLIES,
        X_LEARNS_OUTCOME,
        G_READS_X,
        H_READS_X,
        G_GIVES_UP_X,
        G_DECLARES_X,
        H_GIVES_UP_X,
        H_DECLARES_X,
        H_DECLARES_G,
        OBSERVER_READS_G,
        OBSERVER_DECLARES_X
    }

    boolean step(Action action) {
        return switch (action) {
            case TIME -> ++nowMillis > 0;
            case X_SENDS -> send(linkX, leaseOfX);
            case X_REACHES -> reachX();
            case X_HEARS -> hear(linkX, leaseOfX);
            case G_SENDS -> send(linkG, leaseOfG);
            case G_REACHES -> reach(linkG, grantorH, G);
            case G_HEARS -> hear(linkG, leaseOfG);
            case X_STARTS_REPLACING -> startReplacing();
            case TABLE_APPLIES -> applyWrite();
            case X_LEARNS_OUTCOME -> learnOutcome();
            case G_READS_X -> knownToG != rowOfX.revision && readByG();
            case H_READS_X -> knownToH != rowOfX.revision && readByH();
            case G_GIVES_UP_X -> declaringByG == NEVER && giveUpByG();
            case G_DECLARES_X -> declaringByG != NEVER && declareX(declaringByG);
            case H_GIVES_UP_X -> declaringByH == NEVER && giveUpByH();
            case H_DECLARES_X -> declaringByH != NEVER && declareX(declaringByH);
            case H_DECLARES_G ->
                !rowOfG.dead && grantorH.expiredGrantees(nowMillis).contains(G) && kill(rowOfG);
            case OBSERVER_READS_G -> rowOfG.dead && orphanSinceMillis == NEVER && watchOrphan();
            case OBSERVER_DECLARES_X -> declareOrphan();
        };
    }

    /** A dead member must not believe that it may serve, because its keys have another owner by now. */
    boolean isSafe() {
        return !(rowOfX.dead && leaseOfX.isValid(nowMillis)) && !(rowOfG.dead && leaseOfG.isValid(nowMillis));
    }

    private boolean send(Link link, HolderLease lease) {
        if (link.request != NEVER) {
            return false;
        }
        link.request = lease.beginRenewal(nowMillis);
        link.requestEpoch = lease.epoch();
        link.requestSentMillis = nowMillis;
        link.to = lease.grantor();
        return true;
    }

    private boolean reachX() {
        if (linkX.request == NEVER) {
            return false;
        }
        if (linkX.to.equals(H)) {
            return reach(linkX, grantorH, X);
        }
        boolean mayGrant = leaseOfG.isValid(nowMillis) || parts == BrokenLeases.GRANTS_WITHOUT_LEASE;
        if (!mayGrant) {
            linkX.request = NEVER;
            return true;
        }
        return reach(linkX, grantorG, X);
    }

    private boolean reach(Link link, LeaseGrantor grantor, MemberId member) {
        if (link.request == NEVER) {
            return false;
        }
        if (grantor.onRenewal(member, link.requestEpoch, nowMillis).isGranted()) {
            link.grant = link.request;
            link.grantEpoch = link.requestEpoch;
            link.grantSentMillis = link.requestSentMillis;
        }
        link.request = NEVER;
        return true;
    }

    private boolean hear(Link link, HolderLease lease) {
        if (link.grant == NEVER) {
            return false;
        }
        lease.onGranted(link.grant, link.grantEpoch, SETTINGS.leaseMillis(), nowMillis);
        link.grant = NEVER;
        return true;
    }

    private boolean startReplacing() {
        if (writing != null
                || rowOfX.epoch != leaseOfX.epoch()
                || leaseOfX.grantor().equals(H)) {
            return false;
        }
        leaseOfX.suspendRenewals();
        writing = H;
        writeRevision = rowOfX.revision;
        writeOutcome = null;
        return true;
    }

    private boolean applyWrite() {
        if (writing == null || writeOutcome != null) {
            return false;
        }
        writeOutcome = !rowOfX.dead && rowOfX.revision == writeRevision;
        if (writeOutcome) {
            rowOfX.grantor = writing;
            rowOfX.epoch++;
            rowOfX.revision++;
        }
        return true;
    }

    private boolean learnOutcome() {
        if (writeOutcome == null) {
            return false;
        }
        if (writeOutcome) {
            leaseOfX.setGrantor(writing, leaseOfX.epoch() + 1, nowMillis);
        } else {
            leaseOfX.end();
        }
        writing = null;
        writeOutcome = null;
        return true;
    }

    private boolean readByG() {
        knownToG = rowOfX.revision;
        if (rowOfX.dead || !rowOfX.grantor.equals(G)) {
            grantorG.removeGrantee(X);
        }
        return true;
    }

    private boolean readByH() {
        knownToH = rowOfX.revision;
        if (!rowOfX.dead && rowOfX.grantor.equals(H)) {
            grantorH.addGrantee(X, rowOfX.epoch, nowMillis);
        } else {
            grantorH.removeGrantee(X);
        }
        return true;
    }

    private boolean giveUpByG() {
        if (!grantorG.expiredGrantees(nowMillis).contains(X)) {
            return false;
        }
        declaringByG = knownToG;
        return true;
    }

    private boolean giveUpByH() {
        if (!grantorH.expiredGrantees(nowMillis).contains(X)) {
            return false;
        }
        declaringByH = knownToH;
        return true;
    }

    private boolean declareX(long revision) {
        return !rowOfX.dead && rowOfX.revision == revision && kill(rowOfX);
    }

    private static boolean kill(Row row) {
        row.dead = true;
        row.revision++;
        return true;
    }

    private boolean watchOrphan() {
        orphanSinceMillis = nowMillis;
        return true;
    }

    private boolean declareOrphan() {
        long waitMillis = parts == BrokenLeases.ORPHANS_DECLARED_AT_ONCE ? 0 : SETTINGS.expiryTimeoutMillis();
        boolean due = orphanSinceMillis != NEVER && nowMillis >= orphanSinceMillis + waitMillis;
        return due && !rowOfX.dead && rowOfX.grantor.equals(G) && kill(rowOfX);
    }

    /** Two states with the same text behave alike from here on: times count from the present, what is past is alike. */
    @Override
    public String toString() {
        return describe(leaseOfX) + "|" + describe(leaseOfG) + "|" + describe(grantorG) + "|" + describe(grantorH) + "|"
                + rowOfX + "|" + rowOfG + "|" + linkX.describe(nowMillis) + "|" + linkG.describe(nowMillis) + "|"
                + writing
                + "|" + writeRevision + "|" + writeOutcome + "|" + knownToG + "|" + knownToH + "|" + declaringByG + "|"
                + declaringByH + "|" + (orphanSinceMillis == NEVER ? NEVER : fromNow(orphanSinceMillis));
    }

    private String describe(HolderLease lease) {
        return lease.grantor() + "/" + lease.epoch() + "/" + lease.isAcceptingRenewals() + "/"
                + Math.max(0, lease.leaseEndMillis() - nowMillis);
    }

    private String describe(LeaseGrantor grantor) {
        return EXPIRY.matcher(grantor.toString())
                .replaceAll(m -> "" + Math.max(0, Long.parseLong(m.group(1)) - nowMillis));
    }

    private long fromNow(long millis) {
        return Math.max(millis - nowMillis, -SETTINGS.expiryTimeoutMillis());
    }
}
