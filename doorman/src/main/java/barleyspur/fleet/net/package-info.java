/** Fleet membership over UDP: encoding and authentication of datagrams, admin endpoints, metrics and logging. */
package barleyspur.fleet.net;
