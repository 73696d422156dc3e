/**
 * A soak under faults: real router processes run with stand-ins for the store, backend servers and callers while random
 * faults are injected from outside; invariants are checked against what callers and backend servers observed.
 */
package org.siskindyke.soak;
