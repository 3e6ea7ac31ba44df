/**
 * The disk tier: copies on a disk that lasts. Here stands what it decides, free of I/O, clock and random source: which
 * parts are worth their place ({@link barleyspur.tier.RecurrentKeeper}) by a history that outlives the copies
 * ({@link barleyspur.tier.History}). See {@code docs/design/tier.md}.
 */
package barleyspur.tier;
