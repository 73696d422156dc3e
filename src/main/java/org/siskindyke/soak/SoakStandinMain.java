package org.siskindyke.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.siskindyke.runtime.Logging;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.HeartbeatBackendStandin;
import org.siskindyke.standin.HeartbeatBackendStandin.GrantedRange;
import org.siskindyke.standin.HeartbeatBackendStandin.ResponseStart;
import org.siskindyke.standin.OddEntries;
import org.siskindyke.standin.StoreStandin;

/** Main class of the stand-in processes of a soak: the store, a backend server or the callers. */
public final class SoakStandinMain {
    static final String STORE = "store";
    static final String TARGET = "target";
    static final String CALLERS = "callers";
    static final String HIDE_KEYS = "--hide-keys";
    static final String LEAVE = "leave";
    static final String DEREGISTER = "deregister";
    static final String LIMIT = "limit ";
    static final String FAULT = "fault ";
    static final String ODD = "odd";
    static final String STRAY = "stray ";
    static final String STUTTER = "stutter ";
    /** Time after which a backend server is up again that has ended since it ran a certain request. */
    private static final long CRASH_RESTART_MILLIS = 1_500;

    static final String CONFIGURE = "configure ";

    static final String EVACUATE = "evacuate ";
    static final String TAKE_BACK = "take-back ";

    private SoakStandinMain() {}

    /**
     * Executes the commands on standard input, one a line, until it ends; prints events on standard output.
     *
     * @param arguments the role ({@link #STORE}, {@link #TARGET} or {@link #CALLERS}), followed by its parameters
     */
    public static void main(String[] arguments) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logging.configure(System.getenv());
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            Runtime.getRuntime().halt(1);
        });
        List<String> argumentList = List.of(arguments);
        Consumer<String> commands =
                switch (argumentList.get(0)) {
                    case STORE -> store(argumentList);
                    case TARGET -> target(argumentList);
                    default -> new SoakCallers(argumentList.subList(1, argumentList.size()), SoakStandinMain::print);
                };
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            commands.accept(line);
        }
        System.exit(0);
    }

    private static void print(SoakEvent event) {
        System.out.println(Json.write(event));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static Consumer<String> store(List<String> argumentList) {
        StoreStandin store = new StoreStandin(new TrafficLoop(), SystemMonotonicClock.INSTANCE);
        store.listen(address(argumentList.get(1)));
        store.saveCopiesRegularly();
        return line -> {
            if (line.startsWith(FAULT)) {
                store.setFault(StoreStandin.Fault.valueOf(line.substring(FAULT.length())));
            } else if (line.equals(ODD)) {
                writeOddRows(store);
            } else if (line.startsWith(EVACUATE)) {
                store.put("op", "evacuate/" + line.substring(EVACUATE.length()), "{}");
            } else if (line.startsWith(TAKE_BACK)) {
                store.remove("op", "evacuate/" + line.substring(TAKE_BACK.length()));
            } else if (line.startsWith(CONFIGURE)) {
                store.put("op", "config", line.substring(CONFIGURE.length()));
            }
        };
    }

    /** Writes rows among those of the routers, as another program may. */
    private static void writeOddRows(StoreStandin store) {
        for (String table : List.of("routers", "routers-own")) {
            for (String key :
                    List.of("members/odd:1", "holdings/keyed/odd:1", "documents/odd", "suspects/odd", "odd")) {
                OddEntries.rows().forEach(value -> store.put(table, key, value));
            }
        }
    }

    /**
     * Returns what a backend server sends before a request ends it: the servers differ. None sends a part of a body
     * without a length, which nobody can tell from a whole one.
     */
    private static ResponseStart responseStart(String target) {
        List<ResponseStart> incomplete = Arrays.stream(ResponseStart.values())
                .filter(start -> start != ResponseStart.PART_WITHOUT_LENGTH)
                .toList();
        return incomplete.get(Math.floorMod(target.hashCode(), incomplete.size()));
    }

    private static Consumer<String> target(List<String> argumentList) {
        String name = argumentList.get(1);
        HeartbeatBackendStandin.Identity identity = new HeartbeatBackendStandin.Identity(
                name,
                argumentList.get(2),
                argumentList.get(3),
                address(argumentList.get(4)),
                address(argumentList.get(5)),
                argumentList.get(2).equals(SoakTopology.KEYED),
                SoakTopology.HEARTBEAT_MILLIS);
        HeartbeatBackendStandin.Listener listener = new HeartbeatBackendStandin.Listener() {
            @Override
            public void onRun(String requestId, int key, long token, String signature) {
                print(SoakEvent.run(SoakJournal.nowMillis(), name, requestId, signature, key, token));
            }

            @Override
            public void onResponse(String requestId, String signature, int status, boolean signed) {
                print(SoakEvent.responded(SoakJournal.nowMillis(), name, requestId, signature, status, signed));
            }

            @Override
            public void onGranted(List<GrantedRange> rows, long untilMillis) {
                print(SoakEvent.holds(SoakJournal.nowMillis(), name, rows, untilMillis));
            }

            @Override
            public void onCrash(String requestId) {
                print(SoakEvent.crashed(SoakJournal.nowMillis(), name, requestId));
            }

            @Override
            public void onLeavingAcknowledged() {
                print(SoakEvent.of(SoakJournal.nowMillis(), SoakEvent.What.LEAVING, name, null));
            }
        };
        HeartbeatBackendStandin target = new HeartbeatBackendStandin(
                new TrafficLoop(), SystemMonotonicClock.INSTANCE, identity, System.currentTimeMillis(), listener);
        if (argumentList.contains(HIDE_KEYS)) {
            target.keepReleasedKeys();
        }
        target.nameRunsInBodies();
        target.crashOnRequest(CRASH_RESTART_MILLIS, responseStart(name));
        target.start();
        return targetCommands(target, name);
    }

    private static Consumer<String> targetCommands(HeartbeatBackendStandin target, String name) {
        return line -> {
            if (line.equals(LEAVE)) {
                target.leave();
            } else if (line.equals(DEREGISTER)) {
                target.deregister();
            } else if (line.equals(ODD)) {
                target.sendOddHeartbeats();
            } else if (line.startsWith(STRAY)) {
                target.writeStrayResponses(Boolean.parseBoolean(line.substring(STRAY.length())));
            } else if (line.startsWith(STUTTER)) {
                target.stutter(Boolean.parseBoolean(line.substring(STUTTER.length())));
            } else if (line.startsWith(LIMIT)) {
                String perSecond = line.substring(LIMIT.length());
                boolean limited = !perSecond.equals("0");
                target.announce(limited ? new Header[] {new Header("Server-Limit", perSecond)} : new Header[0]);
                print(SoakEvent.of(SoakJournal.nowMillis(), SoakEvent.What.LIMITED, name, perSecond));
            }
        };
    }
}
