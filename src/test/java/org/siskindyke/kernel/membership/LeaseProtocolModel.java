package org.siskindyke.kernel.membership;

import java.util.regex.Pattern;

import org.siskindyke.kernel.id.MemberId;

/**
 * A model of three members that uses the real lease classes: X renews its lease with G or H, and G renews with H. H
 * grants as if its own lease were always valid. An observer, which is a further member, declares X dead once it has
 * known for the duration of a lease plus the margin that G is dead, if G is still X's grantor. Each action is one
 * atomic step; time advances in its own steps, and a message in flight may be delivered at any later time or never.
 */
final class LeaseProtocolModel {
    static final LeaseSettings SETTINGS = new LeaseSettings(3, 1, 1, 2);

    private static final MemberId X = MemberId.of("x:1");
    private static final MemberId G = MemberId.of("g:1");
    private static final MemberId H = MemberId.of("h:1");
    private static final long NEVER = -100;
    private static final Pattern EXPIRY = Pattern.compile("expiry=(\\d+)");

    private final BrokenLeases mutation;
    private final HolderLease leaseOfX;
    private final HolderLease leaseOfG;
    private final LeaseGrantor grantorG;
    private final LeaseGrantor grantorH;
    private long nowMillis;
    private final Row rowOfX = new Row(G);
    private final Row rowOfG = new Row(H);
    private final Link linkX = new Link();
    private final Link linkG = new Link();
    /** The grantor that X is writing into its row; null while it is not replacing its grantor. */
    private MemberId newGrantor;
    /** The revision of X's row that this write requires. */
    private long requiredRevision;
    /** Whether the table has committed this write; null before the table has processed it. */
    private Boolean writeOutcome;
    /** The revision of X's row that G has read last. */
    private long revisionReadByG = 1;

    private long revisionReadByH;
    /** The revision of X's row that G requires when it declares X dead; {@code NEVER} before G has given up X. */
    private long declarationRevisionOfG = NEVER;

    private long declarationRevisionOfH = NEVER;
    /** When an observer has read that G, the grantor of X, is dead. */
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

    /** The messages of a member in flight: at most one renewal and one grant. */
    private static final class Link {
        /** Sequence number of the renewal in flight; {@code NEVER} for none. */
        private long request = NEVER;

        private long requestEpoch;
        private MemberId to;
        private long requestSentMillis;
        /** Sequence number of the renewal that the grant in flight answers; {@code NEVER} for none. */
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

    LeaseProtocolModel(BrokenLeases mutation) {
        this.mutation = mutation;
        this.leaseOfX = mutation.newHolder();
        this.leaseOfG = mutation.newHolder();
        this.grantorG = mutation.newGrantor(SETTINGS);
        this.grantorH = mutation.newGrantor(SETTINGS);
        leaseOfX.extendOutageBound(Long.MAX_VALUE);
        leaseOfG.extendOutageBound(Long.MAX_VALUE);
        leaseOfX.setGrantor(G, 1, 0);
        leaseOfG.setGrantor(H, 1, 0);
        grantorG.addGrantee(X, 1, 0);
        grantorH.addGrantee(G, 1, 0);
    }

    /** The possible actions. {@code TABLE_APPLIES} processes X's change of grantor; {@code DECLARES}: declares dead. */
    enum Action {
        TIME,
        X_SENDS_RENEWAL,
        X_RENEWAL_ARRIVES,
        X_RECEIVES_GRANT,
        G_SENDS_RENEWAL,
        G_RENEWAL_ARRIVES,
        G_RECEIVES_GRANT,
        X_STARTS_REPLACING,
        TABLE_APPLIES,
        X_RECEIVES_OUTCOME,
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

    /** Executes an action and returns whether it was possible. */
    boolean step(Action action) {
        return switch (action) {
            case TIME -> ++nowMillis > 0;
            case X_SENDS_RENEWAL -> sendRenewal(linkX, leaseOfX);
            case X_RENEWAL_ARRIVES -> deliverRenewalOfX();
            case X_RECEIVES_GRANT -> receiveGrant(linkX, leaseOfX);
            case G_SENDS_RENEWAL -> sendRenewal(linkG, leaseOfG);
            case G_RENEWAL_ARRIVES -> deliverRenewal(linkG, grantorH, G);
            case G_RECEIVES_GRANT -> receiveGrant(linkG, leaseOfG);
            case X_STARTS_REPLACING -> startReplacing();
            case TABLE_APPLIES -> applyWrite();
            case X_RECEIVES_OUTCOME -> receiveOutcome();
            case G_READS_X -> revisionReadByG != rowOfX.revision && readByG();
            case H_READS_X -> revisionReadByH != rowOfX.revision && readByH();
            case G_GIVES_UP_X -> declarationRevisionOfG == NEVER && giveUpByG();
            case G_DECLARES_X -> declarationRevisionOfG != NEVER && declareX(declarationRevisionOfG);
            case H_GIVES_UP_X -> declarationRevisionOfH == NEVER && giveUpByH();
            case H_DECLARES_X -> declarationRevisionOfH != NEVER && declareX(declarationRevisionOfH);
            case H_DECLARES_G ->
                !rowOfG.dead && grantorH.giveUpExpiredGrantees(nowMillis).contains(G) && declareDead(rowOfG);
            case OBSERVER_READS_G -> rowOfG.dead && orphanSinceMillis == NEVER && watchOrphan();
            case OBSERVER_DECLARES_X -> declareOrphan();
        };
    }

    /** Returns whether no dead member has a valid lease, since its keys may have another owner by now. */
    boolean isSafe() {
        return !(rowOfX.dead && leaseOfX.isValid(nowMillis)) && !(rowOfG.dead && leaseOfG.isValid(nowMillis));
    }

    private boolean sendRenewal(Link link, HolderLease lease) {
        if (link.request != NEVER) {
            return false;
        }
        link.request = lease.beginRenewal(nowMillis);
        link.requestEpoch = lease.epoch();
        link.requestSentMillis = nowMillis;
        link.to = lease.grantor();
        return true;
    }

    private boolean deliverRenewalOfX() {
        if (linkX.request == NEVER) {
            return false;
        }
        if (linkX.to.equals(H)) {
            return deliverRenewal(linkX, grantorH, X);
        }
        boolean mayGrant = leaseOfG.isValid(nowMillis) || mutation == BrokenLeases.GRANTS_WITHOUT_LEASE;
        if (!mayGrant) {
            linkX.request = NEVER;
            return true;
        }
        return deliverRenewal(linkX, grantorG, X);
    }

    private boolean deliverRenewal(Link link, LeaseGrantor grantor, MemberId member) {
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

    private boolean receiveGrant(Link link, HolderLease lease) {
        if (link.grant == NEVER) {
            return false;
        }
        lease.onGranted(link.grant, link.grantEpoch, SETTINGS.leaseMillis(), nowMillis);
        link.grant = NEVER;
        return true;
    }

    private boolean startReplacing() {
        if (newGrantor != null
                || rowOfX.epoch != leaseOfX.epoch()
                || leaseOfX.grantor().equals(H)) {
            return false;
        }
        leaseOfX.suspendRenewals();
        newGrantor = H;
        requiredRevision = rowOfX.revision;
        writeOutcome = null;
        return true;
    }

    private boolean applyWrite() {
        if (newGrantor == null || writeOutcome != null) {
            return false;
        }
        writeOutcome = !rowOfX.dead && rowOfX.revision == requiredRevision;
        if (writeOutcome) {
            rowOfX.grantor = newGrantor;
            rowOfX.epoch++;
            rowOfX.revision++;
        }
        return true;
    }

    private boolean receiveOutcome() {
        if (writeOutcome == null) {
            return false;
        }
        if (writeOutcome) {
            leaseOfX.setGrantor(newGrantor, leaseOfX.epoch() + 1, nowMillis);
        } else {
            leaseOfX.end();
        }
        newGrantor = null;
        writeOutcome = null;
        return true;
    }

    private boolean readByG() {
        revisionReadByG = rowOfX.revision;
        if (rowOfX.dead || !rowOfX.grantor.equals(G)) {
            grantorG.removeGrantee(X);
        }
        return true;
    }

    private boolean readByH() {
        revisionReadByH = rowOfX.revision;
        if (!rowOfX.dead && rowOfX.grantor.equals(H)) {
            grantorH.addGrantee(X, rowOfX.epoch, nowMillis);
        } else {
            grantorH.removeGrantee(X);
        }
        return true;
    }

    private boolean giveUpByG() {
        if (!grantorG.giveUpExpiredGrantees(nowMillis).contains(X)) {
            return false;
        }
        declarationRevisionOfG = revisionReadByG;
        return true;
    }

    private boolean giveUpByH() {
        if (!grantorH.giveUpExpiredGrantees(nowMillis).contains(X)) {
            return false;
        }
        declarationRevisionOfH = revisionReadByH;
        return true;
    }

    private boolean declareX(long revision) {
        return !rowOfX.dead && rowOfX.revision == revision && declareDead(rowOfX);
    }

    private static boolean declareDead(Row row) {
        row.dead = true;
        row.revision++;
        return true;
    }

    private boolean watchOrphan() {
        orphanSinceMillis = nowMillis;
        return true;
    }

    private boolean declareOrphan() {
        long waitMillis = mutation == BrokenLeases.ORPHANS_DECLARED_AT_ONCE ? 0 : SETTINGS.expiryTimeoutMillis();
        boolean due = orphanSinceMillis != NEVER && nowMillis >= orphanSinceMillis + waitMillis;
        return due && !rowOfX.dead && rowOfX.grantor.equals(G) && declareDead(rowOfX);
    }

    /** Returns equal texts for states that behave alike from now on: times are relative, and past times are clamped. */
    @Override
    public String toString() {
        return describe(leaseOfX) + "|" + describe(leaseOfG) + "|" + describe(grantorG) + "|" + describe(grantorH) + "|"
                + rowOfX + "|" + rowOfG + "|" + linkX.describe(nowMillis) + "|" + linkG.describe(nowMillis) + "|"
                + newGrantor
                + "|" + requiredRevision + "|" + writeOutcome + "|" + revisionReadByG + "|" + revisionReadByH + "|"
                + declarationRevisionOfG + "|"
                + declarationRevisionOfH + "|" + (orphanSinceMillis == NEVER ? NEVER : fromNow(orphanSinceMillis));
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
