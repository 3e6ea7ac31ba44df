/**
 * A soak test of endings: real processes of the built jar under restarts, upgrades, drains, reloads and faults of
 * depots, with clients that keep using their connections until the kill. A seed draws a whole run.
 */
package barleyspur.lab.soak;
