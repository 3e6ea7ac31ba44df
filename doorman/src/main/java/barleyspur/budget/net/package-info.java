/** Connects {@link barleyspur.budget} to the fleet's datagrams, to attempts at depots, and to the admin interface. */
package barleyspur.budget.net;
