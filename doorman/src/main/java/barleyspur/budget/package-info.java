/**
 * Divides capacity that the doormans of a fleet share. Contains decisions only, free of I/O, clock and random source:
 * {@link barleyspur.budget.BudgetAgent} gets the incoming messages and the time, and outputs the messages to send. An
 * elected coordinator, whom a majority of the configured voters has promised not to replace for a while, grants leases
 * that expire by themselves (leases: Gray and Cheriton 1989; without stable storage, as in PaxosLease: Trencseni et al.
 * 2012). The fleet view serves as a hint of which processes are reachable; safety does not depend on it. {@code
 * docs/design/budget.md} compares the alternatives and states the guarantees.
 */
package barleyspur.budget;
