package org.siskindyke.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.siskindyke.platform.PlatformMain;

/** One instance of a running soak: a router and a backend server. Not thread-safe. */
final class SoakInstance {
    private static final int RESETS = 4;
    private static final long RESET_GAP_MILLIS = 4;

    private final SoakTopology.Instance instance;
    private final File directory;
    private final SoakJournal journal;
    private final FaultProxy link;
    private final FaultProxy peers;
    private final boolean hidesKeys;
    private SoakProcess router;
    private SoakProcess target;
    private int replacements;
    private boolean stutters;

    SoakInstance(
            SoakTopology.Instance instance,
            File directory,
            InetSocketAddress store,
            SoakJournal journal,
            boolean hidesKeys) {
        this.hidesKeys = hidesKeys;
        this.instance = instance;
        this.directory = directory;
        this.journal = journal;
        this.link = new FaultProxy(new InetSocketAddress(instance.host(), SoakTopology.STORE_PORT), store);
        this.peers = new FaultProxy(
                new InetSocketAddress(instance.host(), SoakTopology.PEER_PORT),
                new InetSocketAddress(instance.host(), SoakTopology.PEER_BIND_PORT));
        try {
            Files.writeString(settings().toPath(), instance.settings());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private File settings() {
        return new File(directory, instance.name() + ".json");
    }

    private File log(String process) {
        return new File(directory, instance.name() + "-" + process + ".log");
    }

    void startRouter() {
        if (router != null && router.isAlive()) {
            return;
        }
        SoakLog events = new SoakLog(log("router-events"));
        router = new SoakProcess(
                PlatformMain.class.getName(),
                List.of(),
                Map.of("SISKINDYKE_NODE_FILE", settings().getPath()),
                log("router"),
                events::append);
    }

    void killRouter() {
        router.kill();
    }

    /** Tells the router to stop, and kills it at the end of the grace period, as the users' platform does. */
    void stopRouter() {
        SoakProcess stopping = router;
        journal.add(SoakEvent.What.STOPPING, instance.name(), null);
        stopping.terminate();
        CompletableFuture.delayedExecutor(SoakTopology.GRACE_SECONDS, TimeUnit.SECONDS)
                .execute(stopping::kill);
    }

    /** Restarts a router that was told to stop, once it has ended. */
    void restartStoppedRouter() {
        router.awaitExit();
        journal.add(SoakEvent.What.STOPPED, instance.name(), null);
        startRouter();
    }

    void killBoth() {
        killRouter();
        killTarget();
    }

    void startBoth() {
        startRouter();
        startTarget();
    }

    void hangUpRouter() {
        router.hangUp();
    }

    /** Records a router that has ended without being told to, and restarts it. */
    void checkRouterIsAlive() {
        if (!router.isAlive()) {
            journal.add(
                    SoakEvent.What.FAULT, SoakRun.UNEXPECTED_EXIT, "the router of " + instance.name() + " has ended");
            startRouter();
        }
    }

    void freezeRouter() {
        router.freeze();
    }

    void thawRouter() {
        router.thaw();
        journal.add(SoakEvent.What.MENDED, targetName(), "router thawed");
    }

    /** Starts the backend server under its present name, unless it runs. */
    void startTarget() {
        if (target != null && target.isAlive()) {
            return;
        }
        List<String> arguments = new ArrayList<>(List.of(
                SoakStandinMain.TARGET,
                targetName(),
                instance.service(),
                instance.domain(),
                instance.targetAddress(),
                instance.heartbeatAddress()));
        if (hidesKeys) {
            arguments.add(SoakStandinMain.HIDE_KEYS);
        }
        target = new SoakProcess(SoakStandinMain.class.getName(), arguments, Map.of(), log("target"), journal::addLine);
        writeStutter();
    }

    private String targetName() {
        return "t" + replacements + "-" + instance.name();
    }

    void killTarget() {
        target.kill();
        journal.add(SoakEvent.What.FAULT, targetName(), SoakEvent.TARGET_DOWN);
    }

    void freezeTarget() {
        target.freeze();
    }

    void thawTarget() {
        target.thaw();
        journal.add(SoakEvent.What.MENDED, targetName(), "target thawed");
    }

    void leaveTarget() {
        writeToTarget(SoakStandinMain.LEAVE);
    }

    void deregisterTarget() {
        writeToTarget(SoakStandinMain.DEREGISTER);
    }

    void limitTarget() {
        writeLimit(SoakTopology.LIMIT_PER_SECOND);
    }

    void unlimitTarget() {
        writeLimit(0);
    }

    private void writeLimit(int perSecond) {
        writeToTarget(SoakStandinMain.LIMIT + perSecond);
    }

    void writeStrayResponses() {
        writeToTarget(SoakStandinMain.STRAY + true);
    }

    void stopStrayResponses() {
        writeToTarget(SoakStandinMain.STRAY + false);
    }

    void stutter() {
        stutters = true;
        writeStutter();
    }

    void stopStuttering() {
        stutters = false;
        writeStutter();
    }

    private void writeStutter() {
        writeToTarget(SoakStandinMain.STUTTER + stutters);
    }

    void sendOddHeartbeats() {
        writeToTarget(SoakStandinMain.ODD);
    }

    private void writeToTarget(String line) {
        if (target.isAlive()) {
            target.writeLine(line);
        }
    }

    /** Kills the backend server and starts another one with a new name. */
    void replaceTarget() {
        killTarget();
        replacements++;
        startTarget();
    }

    void setLink(FaultProxy.Mode mode) {
        link.setMode(mode);
    }

    /** Resets the connections of other routers several times within milliseconds. */
    void resetPeers() {
        for (int i = 0; i < RESETS; i++) {
            peers.resetConnections();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RESET_GAP_MILLIS));
        }
    }

    /** Kills both processes and closes the proxies. */
    void close() {
        for (SoakProcess process : new SoakProcess[] {router, target}) {
            if (process != null) {
                process.kill();
            }
        }
        try {
            link.close();
            peers.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
