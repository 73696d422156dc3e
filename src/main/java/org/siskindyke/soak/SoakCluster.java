package org.siskindyke.soak;

import java.io.File;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

import org.siskindyke.standin.StoreStandin;

/** The processes of a soak. Not thread-safe: used by the thread that runs the soak. */
final class SoakCluster implements AutoCloseable {
    /** Index of the store's loopback address; larger than the index of any instance. */
    private static final int STORE_INDEX = 60_000;

    /** How long before a stop the callers send requests that outlast it, so that the router has read them. */
    private static final long PIPELINE_LEAD_MILLIS = 500;

    private static final InetSocketAddress STORE =
            new InetSocketAddress(SoakTopology.host(STORE_INDEX), SoakTopology.STORE_PORT);

    private final SoakTopology topology;
    private final SoakJournal journal;
    private final List<SoakInstance> instances = new ArrayList<>();
    private final SoakProcess storeProcess;
    private final SoakProcess callers;
    private int version;
    private int crashingRequests;

    SoakCluster(SoakTopology topology, SoakPlan plan, File directory, SoakJournal journal) {
        this.topology = topology;
        this.journal = journal;
        String address = STORE.getHostString() + ":" + STORE.getPort();
        storeProcess = startStandin(directory, "store", List.of(SoakStandinMain.STORE, address));
        for (SoakTopology.Instance spec : topology.instances()) {
            SoakInstance instance = new SoakInstance(spec, directory, STORE, journal, plan.hidesKeys());
            instances.add(instance);
            instance.startRouter();
            instance.startTarget();
        }
        List<String> callerArguments = new ArrayList<>(List.of(SoakStandinMain.CALLERS));
        topology.instances().forEach(spec -> callerArguments.add(spec.callerAddress()));
        configure();
        callers = startStandin(directory, "callers", callerArguments);
    }

    private SoakProcess startStandin(File directory, String name, List<String> arguments) {
        return new SoakProcess(
                SoakStandinMain.class.getName(),
                arguments,
                Map.of(),
                new File(directory, name + ".log"),
                journal::addLine);
    }

    SoakInstance instance(int index) {
        return instances.get(index);
    }

    /** Stops a router while callers wait for a long request and for short ones behind it. */
    void stopRouter(int instanceIndex) {
        callers.writeLine(
                SoakCallers.PIPELINE + topology.instances().get(instanceIndex).callerAddress());
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PIPELINE_LEAD_MILLIS));
        instances.get(instanceIndex).stopRouter();
    }

    void killAllRouters() {
        instances.forEach(SoakInstance::killRouter);
    }

    void startAllRouters() {
        instances.forEach(SoakInstance::startRouter);
    }

    /** Controls the faults of the store. */
    interface StoreFaults {
        /** Starts a fault; {@code NONE} ends the present one. */
        void setFault(StoreStandin.Fault fault);
    }

    StoreFaults store() {
        return fault -> storeProcess.writeLine(SoakStandinMain.FAULT + fault);
    }

    /** Writes the next version of the configuration to the store and sends its number to the callers. */
    void configure() {
        version++;
        storeProcess.writeLine(
                SoakStandinMain.CONFIGURE + SoakTopology.configuration(version).replace('\n', ' '));
        journal.add(SoakEvent.What.CONFIGURED, "operator", Integer.toString(version));
        if (callers != null) {
            callers.writeLine(Integer.toString(version));
        }
    }

    /** Evacuates the failure domain of an instance, or takes it back. */
    void evacuate(int instanceIndex, boolean evacuated) {
        String domain = topology.instances().get(instanceIndex).domain();
        storeProcess.writeLine((evacuated ? SoakStandinMain.EVACUATE : SoakStandinMain.TAKE_BACK) + domain);
        String names = topology.instances().stream()
                .filter(instance -> instance.domain().equals(domain))
                .map(SoakTopology.Instance::name)
                .collect(Collectors.joining(","));
        journal.add(SoakEvent.What.EVACUATED, domain, evacuated ? names : "");
    }

    /** Writes odd rows among those of the routers, and sends odd heartbeats to one of them. */
    void writeOddEntries(int instanceIndex) {
        storeProcess.writeLine(SoakStandinMain.ODD);
        instances.get(instanceIndex).sendOddHeartbeats();
    }

    /** Lets the callers send a request that ends each backend server which begins to run it. */
    void startCrashingRequest() {
        crashingRequests++;
        callers.writeLine(SoakCallers.CRASH + crashingRequests);
    }

    /** Lets the callers stop sending that request. */
    void stopCrashingRequest() {
        callers.writeLine(SoakCallers.CRASH + 0);
    }

    @Override
    public void close() {
        callers.kill();
        instances.forEach(SoakInstance::close);
        storeProcess.kill();
    }
}
