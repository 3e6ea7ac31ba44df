/**
 * Who else is there: a doorman's view of the others, which settles again by itself after joins, crashes and
 * partitions. Decisions only, free of I/O, clock and random source: {@link barleyspur.fleet.Membership} is told what
 * came and what the time is, and gives what is to be sent. Failure detection and dissemination follow SWIM (Das, Gupta,
 * Motivala 2002) with Lifeguard's local health, suspicion and buddy messages (Dadgar, Phillips, Currey 2018); views
 * are made equal by digests of buckets. {@code docs/design/fleet-view.md} weighs the ways and states what is promised.
 */
package barleyspur.fleet;
