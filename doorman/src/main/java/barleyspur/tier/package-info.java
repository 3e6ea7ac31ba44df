/**
 * The disk tier: copies on persistent disks. This package contains its decisions, free of I/O, clock and random source:
 * which parts are worth keeping ({@link barleyspur.tier.RecurrencePolicy}), by a request history that outlives the
 * copies ({@link barleyspur.tier.RequestHistory}). See {@code docs/design/tier.md}.
 */
package barleyspur.tier;
