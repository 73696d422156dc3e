package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskindyke.soak.SoakEvent.What;
import org.siskindyke.standin.HeartbeatTarget.HeldRow;

/** The promises of the brief and of the platform's rules. */
final class SoakPromises {
    /** A hold that was given while its holder stood still may be taken so much later. */
    private static final long THAW_MILLIS = 300;
    /** When a configuration must be in force at routers that no fault has met for a while. */
    private static final long APPLY_MILLIS = 2_500;
    /** Time without a fault after which a router counts as undisturbed. */
    private static final long STABLE_MILLIS = 3_000;

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int NOT_FOUND = 404;

    private SoakPromises() {}

    static List<SoakPromise> all() {
        return List.of(
                promise("one owner", (events, plan) -> oneOwner(events)),
                promise("tokens rise", (events, plan) -> tokensRise(events)),
                promise("at most once", (events, plan) -> atMostOnce(events)),
                promise("a refusal is true", (events, plan) -> trueRefusals(events)),
                promise("answers are right and whole", (events, plan) -> rightAnswers(events)),
                promise("planned work cuts no request", SoakPromises::noCuts),
                promise("a leaving server drains in time", (events, plan) -> drains(events)),
                promise("the configuration is in force in time", (events, plan) -> inForce(events)),
                promise("served again in time", (events, plan) -> noted(events, SoakRun.NOT_SERVED)),
                promise("no router ends by itself", (events, plan) -> noted(events, SoakRun.ENDED_ITSELF)));
    }

    /** Finds broken cases. */
    private interface Check {
        List<String> broken(List<SoakEvent> events, SoakPlan plan);
    }

    private static SoakPromise promise(String name, Check check) {
        return new SoakPromise() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public List<String> broken(List<SoakEvent> events, SoakPlan plan) {
                return check.broken(events, plan);
            }
        };
    }

    private static boolean isHeld(SoakEvent holds, int key, long atMillis) {
        return holds != null
                && holds.rows() != null
                && atMillis < holds.untilMillis()
                && holds.rows().stream().anyMatch(row -> row.first() <= key && key <= row.last());
    }

    private static List<String> oneOwner(List<SoakEvent> events) {
        List<String> broken = new ArrayList<>();
        Map<String, SoakEvent> holdsByTarget = new HashMap<>();
        Map<String, Long> thawedMillis = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.HOLDS) {
                holdsByTarget.put(event.who(), event);
            } else if (event.what() == What.FAULT && event.detail().equals(SoakEvent.TARGET_DOWN)) {
                holdsByTarget.remove(event.who());
            } else if (event.what() == What.MENDED) {
                thawedMillis.put(event.who(), event.atMillis());
            } else if (event.what() == What.RUN && event.key() >= 0) {
                holdsByTarget.forEach((other, holds) -> {
                    boolean justThawed =
                            event.atMillis() - thawedMillis.getOrDefault(other, Long.MIN_VALUE / 2) < THAW_MILLIS;
                    if (!other.equals(event.who()) && !justThawed && isHeld(holds, event.key(), event.atMillis())) {
                        broken.add(event.atMillis() + ": " + event.who() + " runs " + event.requestId() + " of key "
                                + event.key() + " with token " + event.token() + " while " + other + " holds it: "
                                + rowOf(holds, event.key()) + " until " + holds.untilMillis());
                    }
                });
            }
        }
        return broken;
    }

    private static HeldRow rowOf(SoakEvent holds, int key) {
        return holds.rows().stream()
                .filter(row -> row.first() <= key && key <= row.last())
                .findFirst()
                .orElseThrow();
    }

    private static List<String> tokensRise(List<SoakEvent> events) {
        List<String> broken = new ArrayList<>();
        Map<Integer, SoakEvent> last = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() != What.RUN || event.key() < 0) {
                continue;
            }
            SoakEvent before = last.put(event.key(), event);
            boolean other = before != null && !before.who().equals(event.who());
            if (before != null && (other ? event.token() <= before.token() : event.token() < before.token())) {
                broken.add(event.atMillis() + ": " + event.who() + " runs key " + event.key() + " with token "
                        + event.token() + " after " + before.who() + " ran it with " + before.token());
            }
        }
        return broken;
    }

    private static Map<String, Integer> runsOf(List<SoakEvent> events) {
        Map<String, Integer> runs = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.RUN) {
                runs.merge(event.requestId(), 1, Integer::sum);
            }
        }
        return runs;
    }

    private static Map<String, SoakEvent> asked(List<SoakEvent> events) {
        Map<String, SoakEvent> asked = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ASKED) {
                asked.put(event.requestId(), event);
            }
        }
        return asked;
    }

    private static boolean isUnsafe(SoakEvent asked) {
        return asked != null && SoakCallers.UNSAFE.equals(asked.detail());
    }

    private static List<String> atMostOnce(List<SoakEvent> events) {
        Map<String, SoakEvent> asked = asked(events);
        List<String> broken = new ArrayList<>();
        runsOf(events).forEach((id, runs) -> {
            if (runs > 1 && isUnsafe(asked.get(id))) {
                broken.add(id + " ran " + runs + " times");
            }
        });
        return broken;
    }

    private static List<String> trueRefusals(List<SoakEvent> events) {
        Map<String, SoakEvent> asked = asked(events);
        Map<String, Integer> runs = runsOf(events);
        List<String> broken = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ANSWERED
                    && NOT_RUN_STATUSES.contains(event.status())
                    && isUnsafe(asked.get(event.requestId()))
                    && runs.containsKey(event.requestId())) {
                broken.add(event.requestId() + " was answered " + event.status() + " at " + event.atMillis()
                        + " and has run");
            }
        }
        return broken;
    }

    private static List<String> rightAnswers(List<SoakEvent> events) {
        return events.stream()
                .filter(event -> event.what() == What.ANSWERED && event.detail() != null)
                .map(event -> event.requestId() + ": " + event.detail())
                .toList();
    }

    /** Judges soaks of planned work; a request that no backend server has begun may end with its connection. */
    private static List<String> noCuts(List<SoakEvent> events, SoakPlan plan) {
        List<String> broken = new ArrayList<>();
        Map<String, Integer> runs = runsOf(events);
        for (SoakEvent event : events) {
            boolean cut = event.what() == What.ANSWERED && event.status() == 0;
            if (plan.plannedOnly() && cut && runs.containsKey(event.requestId())) {
                broken.add(event.requestId() + " at " + event.who() + " was cut at " + event.atMillis());
            }
        }
        return broken;
    }

    private static List<String> drains(List<SoakEvent> events) {
        List<String> broken = new ArrayList<>();
        Map<String, Long> leftMillis = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.LEAVING) {
                leftMillis.putIfAbsent(event.who(), event.atMillis());
            } else if (event.what() == What.RUN && leftMillis.containsKey(event.who())) {
                long sinceMillis = event.atMillis() - leftMillis.get(event.who());
                if (sinceMillis > SoakTopology.DRAIN_MILLIS) {
                    broken.add(event.requestId() + " reached " + event.who() + " " + sinceMillis
                            + " ms after the acknowledgement that it leaves");
                }
            }
        }
        return broken;
    }

    private static List<String> inForce(List<SoakEvent> events) {
        List<String> broken = new ArrayList<>();
        Map<String, SoakEvent> asked = asked(events);
        Map<String, Long> writtenMillis = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.CONFIGURED) {
                writtenMillis.put("/v" + event.detail() + "/", event.atMillis());
            }
        }
        for (SoakEvent event : events) {
            SoakEvent question = event.what() == What.ANSWERED ? asked.get(event.requestId()) : null;
            if (question == null || event.status() != NOT_FOUND || !writtenMillis.containsKey(question.detail())) {
                continue;
            }
            boolean late = question.atMillis() > writtenMillis.get(question.detail()) + APPLY_MILLIS;
            if (late && isUndisturbed(events, question)) {
                broken.add(question.requestId() + " on " + question.detail() + " at " + question.who()
                        + " was not found " + (question.atMillis() - writtenMillis.get(question.detail()))
                        + " ms after it was written");
            }
        }
        return broken;
    }

    /** Tells whether neither the router nor the store had a fault for a while before a question. */
    private static boolean isUndisturbed(List<SoakEvent> events, SoakEvent question) {
        long sinceMillis = question.atMillis() - STABLE_MILLIS;
        Map<String, Integer> open = new HashMap<>();
        for (SoakEvent event : events) {
            boolean concerns = question.who().equals(event.who()) || SoakRun.STORE.equals(event.who());
            boolean fault = event.what() == What.FAULT || event.what() == What.MENDED;
            if (!concerns || !fault || event.atMillis() > question.atMillis()) {
                continue;
            }
            if (event.atMillis() >= sinceMillis) {
                return false;
            }
            open.merge(event.who(), event.what() == What.FAULT ? 1 : -1, Integer::sum);
        }
        return open.values().stream().allMatch(count -> count <= 0);
    }

    /** Returns what the soak itself noted under a name. */
    private static List<String> noted(List<SoakEvent> events, String who) {
        return events.stream()
                .filter(event -> event.what() == What.FAULT && who.equals(event.who()))
                .map(SoakEvent::detail)
                .toList();
    }
}
