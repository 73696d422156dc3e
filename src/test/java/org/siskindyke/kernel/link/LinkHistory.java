package org.siskindyke.kernel.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * A random history of one link: connections that break or fall silent in series while calls, questions, answers and
 * replies are on their way, a receiver that restarts, and calls that are cancelled or given up. Fails with an {@link
 * AssertionError} if a call runs twice, runs although its sender was told that it has not, or stays without an outcome.
 */
final class LinkHistory {
    private static final int STEPS = 120;

    private final Random random;
    private final PlantedFault fault;
    private final SentCalls<Call> sender = new SentCalls<>(1);
    private final List<Connection> connections = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private Receiver receiver = new Receiver();
    private Connection current;

    /** A fault of the receiver or the sender that a search through histories has to find. */
    enum PlantedFault {
        NONE,
        /** The receiver's record begins anew with each connection. */
        RECORD_OF_ONE_CONNECTION,
        /** A connection is used although a later one was opened before its first message was read. */
        SUPERSEDED_CONNECTION_USED,
        /** The sender does not notice that another process answers. */
        RESTART_NOT_NOTICED
    }

    LinkHistory(long seed, PlantedFault fault) {
        this.random = new Random(seed);
        this.fault = fault;
    }

    /** A call and what has become of it. */
    private static final class Call extends SentCall {
        private final boolean kept;
        private int runs;
        private String outcome;

        private Call(boolean kept) {
            this.kept = kept;
        }

        @Override
        protected boolean isKept() {
            return kept;
        }

        private boolean isOpen() {
            return kept && outcome == null;
        }

        private void end(String how) {
            check(outcome == null, "a second outcome: " + how + " after " + outcome);
            outcome = how;
        }
    }

    /** A call with its id on the way. */
    private record Sent(Call call, long id) {}

    /** Messages on their way; what is held in a broken direction arrives late or never. */
    private final class Connection {
        private final Receiver peer = receiver;
        private final Deque<Object> toReceiver = new ArrayDeque<>();
        private final Deque<Object> toSender = new ArrayDeque<>();
        private boolean openAtSender = true;
        private boolean openAtReceiver = true;

        private Connection(LinkQuestion question) {
            toReceiver.add(question);
        }
    }

    /** A process at the other end. */
    private static final class Receiver {
        private final Map<Long, Call> running = new LinkedHashMap<>();
        private ReceivedCalls received = new ReceivedCalls();
        private Connection connection;
    }

    void run() {
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        for (int i = 0; i < STEPS && calls.stream().anyMatch(Call::isOpen); i++) {
            open();
            deliverAll();
            List.copyOf(receiver.running.keySet()).forEach(this::reply);
            deliverAll();
        }
        check(calls.stream().noneMatch(Call::isOpen), "no outcome");
        sender.removeIf(call -> !call.kept);
        receiver.received.open(sender.open());
        check(sender.isEmpty(), "calls are kept for ever");
        check(receiver.received.rangeCount() <= 1, "ids are kept for ever");
    }

    private void step() {
        switch (random.nextInt(12)) {
            case 0, 1, 2 -> send();
            case 3, 4, 5 -> deliver();
            case 6 -> reply();
            case 7 -> breakSome();
            case 8 -> open();
            case 9 -> cancel();
            case 10 -> {
                if (random.nextInt(6) == 0) {
                    restart();
                } else {
                    deliver();
                }
            }
            default -> {
                if (random.nextInt(8) == 0) {
                    sender.loseUnconfirmed().forEach(call -> call.end("lost"));
                } else {
                    deliver();
                }
            }
        }
    }

    private void send() {
        Call call = new Call(random.nextInt(5) > 0);
        calls.add(call);
        sender.add(call);
        write();
    }

    private void write() {
        if (current != null && current.openAtSender) {
            for (Call call : sender.send()) {
                current.toReceiver.add(new Sent(call, call.id()));
            }
        }
    }

    private void open() {
        if (current != null && current.openAtSender && random.nextInt(3) > 0) {
            return;
        }
        current = new Connection(sender.open());
        connections.add(current);
        write();
    }

    /** Ends the open connection at the sender, the receiver or both; what is on its way may still arrive. */
    private void breakSome() {
        if (current == null) {
            return;
        }
        if (random.nextBoolean()) {
            current.openAtReceiver = false;
            current.toReceiver.clear();
        }
        if (current.openAtSender) {
            current.openAtSender = false;
            current.toSender.clear();
            sender.close();
        }
    }

    private void restart() {
        receiver = new Receiver();
        for (Connection connection : connections) {
            connection.openAtReceiver = false;
            connection.toReceiver.clear();
            if (connection == current && connection.openAtSender) {
                connection.openAtSender = false;
                sender.close();
            }
        }
    }

    private void cancel() {
        if (!calls.isEmpty()) {
            Call call = calls.get(random.nextInt(calls.size()));
            boolean mayHaveArrived = call.mayHaveArrived();
            if (sender.remove(call)) {
                call.end(mayHaveArrived ? "given up" : "not run");
                check(mayHaveArrived || call.runs == 0, "has run, but the sender was told that it has not");
            }
        }
    }

    private void deliverAll() {
        for (int i = 0; i < STEPS; i++) {
            connections.forEach(this::deliverOn);
        }
    }

    private void deliver() {
        if (!connections.isEmpty()) {
            int last = connections.size() - 1;
            deliverOn(connections.get(random.nextBoolean() ? last : random.nextInt(last + 1)));
        }
    }

    private void deliverOn(Connection connection) {
        boolean forth = connection.toSender.isEmpty() || random.nextBoolean();
        if (forth && !connection.toReceiver.isEmpty() && connection.openAtReceiver) {
            receive(connection, connection.toReceiver.remove());
        } else if (!connection.toSender.isEmpty() && connection.openAtSender) {
            answer(connection, connection.toSender.remove());
        }
    }

    private void receive(Connection connection, Object message) {
        Receiver peer = connection.peer;
        if (message instanceof LinkQuestion question) {
            ask(connection, question);
        } else if (peer.connection == connection && message instanceof Sent sent && peer.received.receive(sent.id())) {
            sent.call().runs++;
            check(sent.call().runs == 1, "runs twice");
            check(!"not run".equals(sent.call().outcome), "runs although the sender was told that it has not");
            peer.running.put(sent.id(), sent.call());
        }
    }

    private void ask(Connection connection, LinkQuestion question) {
        Receiver peer = connection.peer;
        Optional<LinkAnswer> answer = peer.received.open(question);
        if (answer.isPresent()) {
            peer.connection = connection;
            connection.toSender.add(answer.get());
            answer.get().received().stream()
                    .filter(id -> !peer.running.containsKey(id))
                    .forEach(connection.toSender::add);
        } else if (fault == PlantedFault.SUPERSEDED_CONNECTION_USED) {
            peer.connection = connection;
        } else {
            connection.openAtReceiver = false;
        }
        if (fault == PlantedFault.RECORD_OF_ONE_CONNECTION) {
            peer.received = new ReceivedCalls();
            peer.received.open(new LinkQuestion(question.connection(), List.of()));
        }
    }

    private void reply() {
        if (!receiver.running.isEmpty()) {
            List<Long> ids = new ArrayList<>(receiver.running.keySet());
            reply(ids.get(random.nextInt(ids.size())));
        }
    }

    private void reply(long id) {
        receiver.running.remove(id);
        if (receiver.connection != null) {
            receiver.connection.toSender.add(id);
        }
    }

    private void answer(Connection connection, Object message) {
        if (message instanceof LinkAnswer answer) {
            if (connection == current) {
                settle(answer);
                write();
            }
        } else {
            Call call = sender.removeAnswered((Long) message);
            if (call != null) {
                check(call.runs == 1, "has a reply but has not run");
                call.end("replied");
            }
        }
    }

    /** Passes an answer to the sender's record. */
    private void settle(LinkAnswer answer) {
        boolean trusts = fault != PlantedFault.NONE && fault != PlantedFault.SUPERSEDED_CONNECTION_USED;
        SentCalls.Settlement<Call> settlement =
                sender.settle(trusts ? new LinkAnswer(answer.connection(), 1, answer.received()) : answer);
        settlement.notReceived().forEach(call -> check(call.runs == 0, "has run, but counts as not received"));
        settlement.lost().forEach(call -> call.end("lost"));
    }

    private static void check(boolean holds, String violation) {
        if (!holds) {
            throw new AssertionError(violation);
        }
    }
}
