package org.siskindyke.runtime.traffic;

import java.util.List;

/**
 * Where a router would send a request now, and why. Written as JSON for operators; a field that does not apply is null
 * and left out.
 *
 * @param route the name of the route
 * @param priority the rank of the route
 * @param objectiveMillis the latency objective of the route
 * @param timeoutMillis the time in which a response is of use
 * @param services the services of the route, among which requests are divided by weight
 */
public record RequestExplanation(
        String route, int priority, long objectiveMillis, long timeoutMillis, List<Service> services) {
    /**
     * What would happen to a request that goes to one of the services.
     *
     * @param service the service
     * @param weight the weight among the services of the route
     * @param divided whether the owner of the key gets the request
     * @param slice the slice of the key, of a divided service
     * @param generation the generation of the slice's ownership
     * @param method how one of the candidates is chosen, of an undivided service
     * @param choice the member that would get the request
     * @param reason why it would, or why none would
     * @param candidates the members with a target of the service; of a divided one, the owner
     */
    public record Service(
            String service,
            double weight,
            boolean divided,
            Integer slice,
            Long generation,
            String method,
            String choice,
            String reason,
            List<Candidate> candidates) {}

    /**
     * A member with a target of the service.
     *
     * @param member the member
     * @param target the target
     * @param failureDomain its failure domain
     * @param distance how far it is from this router
     * @param excluded why it gets no requests, or only if all others are excluded or were tried
     * @param expectedMillis expected time of a request that is sent there now
     * @param inFlight requests of this router on their way there or running
     * @param load the latest report
     */
    public record Candidate(
            String member,
            String target,
            String failureDomain,
            String distance,
            String excluded,
            Long expectedMillis,
            Integer inFlight,
            Load load) {}

    /**
     * A report of a target's load.
     *
     * @param ageMillis its age
     * @param slots requests that the target runs concurrently
     * @param busy slots in use
     * @param waiting requests that wait for a slot
     * @param millisPerCall average duration of a request
     * @param intervalMillis time between two requests under the target's limit; 0 without one
     * @param serverRunning requests that the server itself said it runs
     * @param serverWaiting requests that it said wait in it
     * @param serverSlownessPercent how long work took on its host, in percent of the average
     */
    public record Load(
            long ageMillis,
            int slots,
            int busy,
            int waiting,
            int millisPerCall,
            int intervalMillis,
            Integer serverRunning,
            Integer serverWaiting,
            Integer serverSlownessPercent) {}
}
