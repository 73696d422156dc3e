package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.siskindyke.kernel.crash.SuspectDigest;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.Transaction;

/**
 * Keeps the view up to date: the readers of each failure domain poll the table, and all members exchange changes with
 * random others by gossip.
 *
 * <p>A member that starts while the table does not answer learns the rows from the first peer that sends it gossip, so
 * that it can send calls to others; it joins only once it has read the table itself.
 *
 * <p>The readers of a failure domain are its members in state {@code ALIVE} with the lowest ids. Other members poll
 * until they have read all changes once, and later when neither the table nor a peer has confirmed their view for a
 * while.
 */
final class TableSync {
    /** Number of readers of each failure domain; the second polls once in {@link #STALE_AFTER_POLLS} poll intervals. */
    static final int READERS_PER_DOMAIN = 2;

    private static final int POLL_LIMIT_ROWS = 2_000;
    private static final int GOSSIP_LIMIT_ROWS = 200;
    /** Minimum pause after a failed poll until any rows are known. */
    private static final long FIRST_POLL_RETRY_MILLIS = 100;
    /** Minimum pause after a failed poll once rows are known; each call to the table service has a cost. */
    private static final long POLL_RETRY_MILLIS = 400;

    private static final long STALE_AFTER_POLLS = 8;
    /** Poll intervals without confirmation after which a member that is no reader polls. */
    private static final long UNCONFIRMED_POLLS = 24;
    /** Poll intervals after an answer with changes, where the table answers at the next change. */
    private static final long COALESCED_POLLS = 5;
    /** How long gossip of another member counts as contact; longer than the longest gossip interval. */
    private static final long CONTACT_VALID_MILLIS = 1_000;
    /** Age of the last answer to any member from which on the table counts as silent; longer than a poll waits. */
    private static final long MAX_TABLE_AGE_MILLIS = 6_500;

    private static final int MAX_PUSHES_PER_CHANGE = 8;
    /** Delay before a new configuration is spread; most members have received it from the table by then. */
    private static final long SPREAD_DELAY_MILLIS = 150;
    /** Members to which each member spreads a new configuration; three reach nearly all, gossip reaches the rest. */
    private static final int SPREAD_MEMBERS = 3;
    /** Members to which each member spreads an evacuation order; six leave out one in 400 until the next gossip. */
    private static final int EVACUATION_SPREAD_MEMBERS = 6;
    /** Of this many exchanges with a random member, one is with any, and not only with those that accept grantees. */
    private static final int GOSSIPS_PER_GOSSIP_AMONG_ALL = 16;

    private final ControlContext context;
    private final FailureDomain domain;
    private final Consumer<List<Row>> onRows;
    private Consumer<List<SuspectReport>> onSuspects = reports -> {};
    private Consumer<MemberId> onSent = member -> {};
    private Consumer<MemberId> onAnswered = member -> {};
    /** Change count of the member directory for which the reader rank was computed. */
    private long readerRankAsOfChanges = -1;

    private ConfigurationText configuration = ConfigurationText.NONE;
    /** Number of members in this failure domain, in state {@code ALIVE}, whose ids are lower than this member's. */
    private int readerRank;

    /** When to spread the configuration; {@link Long#MAX_VALUE} if it was spread. */
    private long spreadAtMillis = Long.MAX_VALUE;

    private int spreadMembers = SPREAD_MEMBERS;

    private boolean synced;
    /** The version up to which the first read of all rows, which may take several calls, has come. */
    private long firstReadUpTo;

    /** Whether a peer that knew all rows has sent the last ones that this member lacked. */
    private boolean completedByPeer;

    private boolean polling;
    private boolean pollAgain;
    private long nextPollMillis;
    private long nextGossipMillis;
    private long lastTableAnswerMillis = Long.MIN_VALUE;
    private long lastConfirmedMillis = Long.MIN_VALUE;
    private long lastContactMillis = Long.MIN_VALUE / 2;
    /** When the table last answered any member, as far as known; {@link Long#MIN_VALUE} for never. */
    private long tableAnswerKnownMillis = Long.MIN_VALUE;

    TableSync(ControlContext context, FailureDomain domain, Consumer<List<Row>> onRows) {
        this.context = context;
        this.domain = domain;
        this.onRows = onRows;
    }

    /** Returns whether all changes were read at least once. */
    boolean isSynced() {
        return synced;
    }

    RowKnowledge rowKnowledge() {
        if (synced) {
            return RowKnowledge.FROM_TABLE;
        }
        return completedByPeer ? RowKnowledge.FROM_PEER : RowKnowledge.INCOMPLETE;
    }

    /**
     * Returns when the table last answered a poll or {@link #fetch}, in milliseconds of this member's clock;
     * {@link Long#MIN_VALUE} for never.
     */
    long lastTableAnswerMillis() {
        return lastTableAnswerMillis;
    }

    /** Sets callbacks that receive the members to which gossip was sent and those that answered. */
    void observeGossip(Consumer<MemberId> sent, Consumer<MemberId> answered) {
        onSent = sent;
        onAnswered = answered;
    }

    /** Sets the callback that receives the evidence against requests which other members send. */
    void observeSuspects(Consumer<List<SuspectReport>> received) {
        onSuspects = received;
    }

    void tick(long nowMillis) {
        if (nowMillis >= nextPollMillis && (!synced || isReader() || isStale(nowMillis))) {
            poll();
        }
        if (knowsRows() && nowMillis >= nextGossipMillis) {
            nextGossipMillis = nowMillis + jittered(context.settings().gossipMillis());
            gossipWithRandomMember();
        }
        if (nowMillis >= spreadAtMillis) {
            spreadAtMillis = Long.MAX_VALUE;
            randomOthers(spreadMembers).forEach(this::gossipWith);
            spreadMembers = SPREAD_MEMBERS;
        }
    }

    /** Reads changes from the table now or, if a poll is in progress, after the next poll that succeeds. */
    void refresh() {
        if (polling) {
            pollAgain = true;
        } else {
            poll();
        }
    }

    /** Applies rows that are known to be committed. */
    void applyCommitted(List<Row> rows) {
        notifyOf(context.view().applyRows(rows, context.nowMillis()));
    }

    /** Applies the writes of a transaction without deletions that was committed at a revision. */
    void applyCommitted(Transaction transaction, long revision) {
        applyCommitted(transaction.writes().stream()
                .map(write -> new Row(write.path(), revision, write.value(), false))
                .toList());
    }

    /** Reads one row from the table and applies it. */
    void fetch(RowPath path) {
        context.whenComplete(context.table().read(path), (row, failure) -> {
            if (failure == null) {
                lastTableAnswerMillis = context.nowMillis();
                onTableAnswer(lastTableAnswerMillis);
                applyCommitted(List.of(row));
            }
        });
    }

    /** Applies the changes that a peer sent and returns those that the peer lacks. */
    PeerMessenger.Gossip onGossip(PeerMessenger.Gossip gossip) {
        accept(gossip);
        // A member that sends evidence sends it to many; their replies would all bring the same.
        return gossipFor(gossip, gossip.suspects().isEmpty());
    }

    /**
     * Returns the changes and the configuration that a peer lacks according to its own gossip.
     *
     * @param theirs the gossip of the peer
     * @param withSuspects whether to add evidence against requests if the peer knows other evidence
     */
    private PeerMessenger.Gossip gossipFor(PeerMessenger.Gossip theirs, boolean withSuspects) {
        boolean lacksConfiguration = configuration.revision() > theirs.configurationRevision();
        return new PeerMessenger.Gossip(
                context.self(),
                version(),
                changesFor(theirs),
                configuration.revision(),
                lacksConfiguration ? configuration : null,
                suspectsDigest(),
                withSuspects
                        ? context.view().suspects().reportsFor(theirs.suspectsDigest(), context.nowMillis())
                        : List.of(),
                tableAgeMillis(),
                evacuations());
    }

    /** Returns the rows that a peer lacks; none while this member lacks some itself, which the peer would not know. */
    private TableChanges changesFor(PeerMessenger.Gossip theirs) {
        return rowKnowledge() == RowKnowledge.INCOMPLETE
                ? TableChanges.none(0)
                : context.view().replica().changesSince(theirs.tableVersion(), GOSSIP_LIMIT_ROWS);
    }

    /**
     * Accepts a configuration if it is newer than the known one and can be applied.
     *
     * @param offered the configuration
     * @param from the member that sent it; null for none
     */
    void acceptConfiguration(ConfigurationText offered, MemberId from) {
        if (offered.revision() > configuration.revision() && context.listener().onConfiguration(offered, from)) {
            configuration = offered;
            spreadAtMillis = Math.min(spreadAtMillis, context.nowMillis() + SPREAD_DELAY_MILLIS);
        }
    }

    /** Accepts evacuation orders that are newer than the known ones, and spreads them at once. */
    void acceptEvacuations(List<EvacuationOrder> offered) {
        if (context.view().acceptEvacuations(offered, context.nowMillis())) {
            spreadMembers = EVACUATION_SPREAD_MEMBERS;
            spreadAtMillis = context.nowMillis();
            context.listener().onEvacuations(context.view().evacuations());
        }
    }

    /**
     * Exchanges changes with a member now. The message tells the peer this member's versions only; the reply brings the
     * changes that this member lacks, and a second message sends those that the peer lacks.
     */
    void gossipWith(MemberRow member) {
        onSent.accept(member.id());
        context.peers().gossip(member, versionsWith(List.of()), reply -> onGossipReply(member, reply));
    }

    /** Returns a message that tells this member's versions and brings evidence against requests. */
    private PeerMessenger.Gossip versionsWith(List<SuspectReport> suspects) {
        return new PeerMessenger.Gossip(
                context.self(),
                version(),
                TableChanges.none(0),
                configuration.revision(),
                null,
                suspectsDigest(),
                suspects,
                tableAgeMillis(),
                evacuations());
    }

    private List<EvacuationOrder> evacuations() {
        return context.view().evacuations().all(context.nowMillis());
    }

    private SuspectDigest suspectsDigest() {
        return context.view().suspects().digest();
    }

    /** Sends evidence against requests to random members at once. */
    void pushSuspects(List<SuspectReport> suspects, int recipients) {
        for (MemberRow chosen : randomOthers(recipients)) {
            context.peers().gossip(chosen, versionsWith(suspects), this::accept);
        }
    }

    private List<MemberRow> randomOthers(int count) {
        List<MemberRow> others = new ArrayList<>(context.view().members().serving());
        others.removeIf(member -> member.id().equals(context.self()));
        List<MemberRow> chosen = new ArrayList<>();
        for (int i = 0; i < count && !others.isEmpty(); i++) {
            chosen.add(others.remove(context.random().nextInt(others.size())));
        }
        return chosen;
    }

    /** Sends what the process at a member's address lacks, which may have restarted and not have joined yet. */
    private void onGossipReply(MemberRow member, PeerMessenger.Gossip reply) {
        onAnswered.accept(reply.member());
        accept(reply);
        if (reply.tableVersion() >= version()
                && reply.configurationRevision() >= configuration.revision()
                && reply.suspectsDigest().equals(suspectsDigest())) {
            return;
        }
        context.view()
                .members()
                .serving(member.id())
                .ifPresent(m -> context.peers().gossip(m, gossipFor(reply, true), this::accept));
    }

    /**
     * Returns whether a newer configuration would arrive by gossip: another member has sent some lately, and the table
     * still answers one of the members.
     */
    boolean hasRecentContact() {
        return context.nowMillis() - lastContactMillis < CONTACT_VALID_MILLIS
                && tableAgeMillis() <= MAX_TABLE_AGE_MILLIS;
    }

    /** Returns how long ago the table last answered this member, or another one as far as this one has heard. */
    private long tableAgeMillis() {
        return tableAnswerKnownMillis == Long.MIN_VALUE
                ? PeerMessenger.Gossip.UNKNOWN_AGE
                : context.nowMillis() - tableAnswerKnownMillis;
    }

    private void onTableAnswer(long atMillis) {
        tableAnswerKnownMillis = Math.max(tableAnswerKnownMillis, atMillis);
    }

    private void accept(PeerMessenger.Gossip gossip) {
        lastContactMillis = context.nowMillis();
        if (gossip.tableAgeMillis() != PeerMessenger.Gossip.UNKNOWN_AGE) {
            onTableAnswer(lastContactMillis - gossip.tableAgeMillis());
        }
        boolean isComplete = synced || gossip.changes().sinceVersion() <= version();
        if (isComplete && gossip.changes().upToVersion() > version()) {
            notifyOf(context.view().apply(gossip.changes(), context.nowMillis()));
            completedByPeer |= gossip.changes().upToVersion() >= gossip.tableVersion();
        }
        acceptEvacuations(gossip.evacuations());
        if (gossip.configuration() != null) {
            acceptConfiguration(gossip.configuration(), gossip.member());
        }
        if (!gossip.suspects().isEmpty()) {
            onSuspects.accept(gossip.suspects());
        }
        if (gossip.tableVersion() >= version()) {
            lastConfirmedMillis = context.nowMillis();
        }
    }

    private void poll() {
        polling = true;
        nextPollMillis = context.nowMillis()
                + jittered(context.settings().pollMillis())
                + context.table().maxPollMillis();
        // What peers have told so far does not spare the first read of all rows.
        long sinceVersion = synced ? version() : firstReadUpTo;
        context.whenComplete(context.table().changesSince(sinceVersion, POLL_LIMIT_ROWS), this::onPolled);
    }

    private void onPolled(TableChanges changes, Throwable failure) {
        long nowMillis = context.nowMillis();
        polling = false;
        if (failure != null) {
            nextPollMillis = nowMillis
                    + (knowsRows() ? POLL_RETRY_MILLIS : FIRST_POLL_RETRY_MILLIS)
                    + jittered(context.settings().pollMillis());
            return;
        }
        lastTableAnswerMillis = nowMillis;
        onTableAnswer(nowMillis);
        lastConfirmedMillis = nowMillis;
        nextPollMillis = nowMillis + jittered(pauseMillis(!changes.rows().isEmpty()));
        firstReadUpTo = changes.upToVersion();
        synced |= !changes.truncated();
        notifyOf(context.view().apply(changes, nowMillis));
        if (!changes.rows().isEmpty() && context.table().maxPollMillis() > 0) {
            pushToDomain();
        }
        if (pollAgain || changes.truncated()) {
            pollAgain = false;
            poll();
        }
    }

    /** Exchanges changes at once with members of the same failure domain, most of which do not poll the table. */
    private void pushToDomain() {
        context.view().members().serving().stream()
                .filter(m -> m.failureDomain().equals(domain) && !m.id().equals(context.self()))
                .limit(MAX_PUSHES_PER_CHANGE)
                .forEach(this::gossipWith);
    }

    private void notifyOf(List<Row> rows) {
        if (!rows.isEmpty()) {
            onRows.accept(rows);
        }
    }

    /** Returns whether this member has rows: its own first read of all, or those that a peer has sent. */
    private boolean knowsRows() {
        return synced || version() > 0;
    }

    private long version() {
        return context.view().replica().version();
    }

    /** Returns whether neither the table nor a peer has confirmed this view for several poll intervals. */
    private boolean isStale(long nowMillis) {
        return nowMillis - lastConfirmedMillis
                > UNCONFIRMED_POLLS * context.settings().pollMillis();
    }

    /** Returns whether this member is a reader of its failure domain. */
    boolean isReader() {
        long changes = context.view().members().changeCount();
        if (changes != readerRankAsOfChanges) {
            readerRankAsOfChanges = changes;
            readerRank = computeReaderRank();
        }
        return readerRank < READERS_PER_DOMAIN;
    }

    /**
     * Returns the pause before the next poll. Each call has a cost: the second reader of a domain polls seldom, and the
     * first one lets several changes that follow one another come with one answer.
     */
    private long pauseMillis(boolean changed) {
        long pollMillis = context.settings().pollMillis();
        if (isReader() && readerRank > 0) {
            return STALE_AFTER_POLLS * pollMillis;
        }
        return changed && context.table().maxPollMillis() > 0 ? COALESCED_POLLS * pollMillis : pollMillis;
    }

    private int computeReaderRank() {
        int preceding = 0;
        for (MemberRow member : context.view().members().serving()) {
            boolean precedes = member.failureDomain().equals(domain)
                    && member.state() == MemberState.ALIVE
                    && member.id().compareTo(context.self()) < 0;
            preceding += precedes ? 1 : 0;
        }
        return preceding;
    }

    /**
     * Exchanges changes with a random member that accepts grantees; sometimes with any, so that members which were lost
     * while they left are noticed even where each is the grantor of the other.
     */
    private void gossipWithRandomMember() {
        boolean isAmongAll = context.random().nextInt(GOSSIPS_PER_GOSSIP_AMONG_ALL) == 0;
        List<MemberRow> members = isAmongAll
                ? List.copyOf(context.view().members().serving())
                : context.view().members().ring().members();
        if (members.size() < 2) {
            return;
        }
        MemberRow chosen = members.get(context.random().nextInt(members.size()));
        if (!chosen.id().equals(context.self())) {
            gossipWith(chosen);
        }
    }

    private long jittered(long millis) {
        return millis - millis / 4 + context.random().nextLong(millis / 2 + 1);
    }
}
