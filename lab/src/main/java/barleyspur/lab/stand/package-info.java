/**
 * Thin stand-ins for what a doorman speaks to, written from the protocol page: boxes, the command channel, clients. They
 * show the main job to whoever has none of the operators' programs, and count what arrives by themselves.
 */
package barleyspur.lab.stand;
