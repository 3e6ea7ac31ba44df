/**
 * Fleet membership: a doorman's view of the other doormans, which converges again without an operator after joins,
 * crashes and partitions. The package has no I/O, clock or random source of its own:
 * {@link barleyspur.fleet.Membership} takes received datagrams and the time, and returns actions such as datagrams to
 * send. Failure detection and dissemination follow SWIM (Das, Gupta, Motivala 2002) with the local health, suspicion
 * and buddy messages of Lifeguard (Dadgar, Phillips, Currey 2018); anti-entropy compares digests of buckets of members.
 * {@code docs/design/fleet-view.md} compares alternatives and states the guarantees.
 */
package barleyspur.fleet;
