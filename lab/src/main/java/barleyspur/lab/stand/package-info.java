/**
 * Minimal fakes of the programs that a doorman talks to, written from the protocol specification: boxes, the command
 * channel and clients. They allow a demonstration without the operators' programs, and measure independently what
 * arrives.
 */
package barleyspur.lab.stand;
