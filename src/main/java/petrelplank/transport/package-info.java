/**
 * Socket handling that the protocols share: one I/O processor for all sockets, file descriptor budgets, and an acceptor
 * that stays within its budget. Depends on MINA and the JDK only, and does not know about requests.
 */
package petrelplank.transport;
