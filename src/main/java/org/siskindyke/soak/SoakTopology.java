package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The instances of a soak; each has a loopback address of its own, so that all routers use the same ports.
 *
 * @param instances all instances
 */
public record SoakTopology(List<Instance> instances) {
    static final String KEYED = "keyed";
    static final String PLAIN = "plain";
    static final int CALLER_PORT = 7000;
    static final int STORE_PORT = 7009;
    static final long HEARTBEAT_MILLIS = 300;
    static final long DRAIN_MILLIS = 2_000;
    static final int GRACE_SECONDS = 6;
    /** Requests a second that a limited backend server names. */
    static final int LIMIT_PER_SECOND = 2;

    /** Where a proxy takes the connections of other routers. */
    static final int PEER_PORT = 7001;
    /** Where the router itself takes them. */
    static final int PEER_BIND_PORT = 7005;

    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int READINESS_PORT = 7002;
    private static final int HEARTBEAT_PORT = 7003;
    private static final int TARGET_PORT = 7004;
    private static final int DOMAINS = 3;
    private static final int HOSTS_PER_NETWORK = 250;

    /**
     * The place of a router and a backend server.
     *
     * @param name name of the instance, also of its router; part of the names of its backend servers
     * @param service service of its backend server
     * @param domain failure domain of the instance
     * @param host loopback address at which its processes listen
     */
    public record Instance(String name, String service, String domain, String host) {
        String callerAddress() {
            return host + ":" + CALLER_PORT;
        }

        String heartbeatAddress() {
            return host + ":" + HEARTBEAT_PORT;
        }

        String targetAddress() {
            return host + ":" + TARGET_PORT;
        }

        /** Returns the address at which the router reaches the store: that of a proxy that injects network faults. */
        String storeAddress() {
            return host + ":" + STORE_PORT;
        }

        /** Returns the contents of the router's settings file, in the format of the users' platform. */
        String settings() {
            return """
                    {"node_name":"%s","zone":"%s","service":"%s",
                     "listen":{"outbound":"%s","inbound":"%s:%d","inbound_bind":"%s:%d","ready":"%s:%d","control":"%s"},
                     "platform":{"address":"%s"},"heartbeat_ms":%d,
                     "bounds":{"drain_ms":%d,"grace_s":%d,"hold_max_ms":10000,"retry_budget_ratio":0.2,
                               "budget_extra":60,"budget_window_s":10}}
                    """.formatted(
                            name,
                            domain,
                            service,
                            callerAddress(),
                            host,
                            PEER_PORT,
                            host,
                            PEER_BIND_PORT,
                            host,
                            READINESS_PORT,
                            heartbeatAddress(),
                            storeAddress(),
                            HEARTBEAT_MILLIS,
                            DRAIN_MILLIS,
                            GRACE_SECONDS);
        }
    }

    /** Creates a topology; two of three instances belong to the service whose keys have owners. */
    public static SoakTopology of(int count) {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String service = i % 3 == 2 ? PLAIN : KEYED;
            String domain = "d" + i / 3 % DOMAINS;
            instances.add(new Instance("n" + i, service, domain, host(i)));
        }
        return new SoakTopology(instances);
    }

    /** Returns a loopback address in a network derived from the process id, so that soaks can run concurrently. */
    static String host(int index) {
        long network = 1 + ProcessHandle.current().pid() % (HOSTS_PER_NETWORK - 1);
        return "127." + network + "." + index / HOSTS_PER_NETWORK + "." + (index % HOSTS_PER_NETWORK + 1);
    }

    /** Returns the configuration of a version; its marked route exists in this version only. */
    static String configuration(int version) {
        return """
                {"version":"r%d","services":[{"name":"keyed","max_connections":40,"sharded":true},
                 {"name":"plain","max_connections":40}],
                 "virtual_hosts":[{"hostname":"soak.example","paths":[%s,%s,%s,%s]}]}
                """.formatted(
                        version,
                        route("safe", "/s/", "safe", TIMEOUT_MILLIS, KEYED),
                        route("unsafe", "/u/", "unsafe", TIMEOUT_MILLIS, PLAIN),
                        route("mark" + version, markedPath(version), "safe", TIMEOUT_MILLIS, PLAIN),
                        route("long", PipeliningCaller.ROUTE, "safe", PipeliningCaller.ROUTE_TIMEOUT_MILLIS, KEYED));
    }

    static String markedPath(int version) {
        return "/v" + version + "/";
    }

    private static String route(String name, String prefix, String kind, int timeoutMillis, String service) {
        return """
                {"name":"%s","prefix":"%s","route_type":"%s","timeout_ms":%d,"aim_ms":1000,"priority":1,
                 "service":"%s","max_attempts":2}""".formatted(name, prefix, kind, timeoutMillis, service);
    }
}
