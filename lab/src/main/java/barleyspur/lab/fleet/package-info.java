/**
 * Several doormans and faults between them: one schedule of faults is played in virtual time, over thousands of members
 * and seeds, and over real processes, and the same watch judges both by what is promised of the fleet view.
 */
package barleyspur.lab.fleet;
