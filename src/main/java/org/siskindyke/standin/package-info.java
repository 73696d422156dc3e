/**
 * Stand-ins for the systems that the router works with. {@link org.siskindyke.standin.StoreStandin} and {@link
 * org.siskindyke.standin.HeartbeatBackendStandin} are for the router of the users' platform, {@link
 * org.siskindyke.standin.TableStandin} and {@link org.siskindyke.standin.BackendStandin} for the router that the
 * command-line tool starts.
 */
package org.siskindyke.standin;
