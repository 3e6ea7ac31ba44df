/** The fleet view on real sockets: datagrams, their encoding and tag, the second address's calls, metrics and log. */
package barleyspur.fleet.net;
