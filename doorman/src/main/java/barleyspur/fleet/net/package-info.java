/** Fleet membership over UDP: encoding and authentication of datagrams, administration routes, metrics and logging. */
package barleyspur.fleet.net;
