/**
 * Fault injection on several doormans. A schedule of faults runs either in virtual time, with thousands of members and
 * many seeds, or on real processes with relays on their links. Two invariants are checked: membership views converge,
 * by the same monitor in both, and leased budgets never exceed their capacity. Schedules that fail in virtual time are
 * shrunk, and runs are reported.
 */
package barleyspur.lab.fleet;
