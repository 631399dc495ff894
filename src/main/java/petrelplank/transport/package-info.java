/**
 * Sockets below the protocols: one I/O processor for all of them, descriptor budgets, and an acceptor that keeps to its
 * budget. Knows MINA and the platform, and nothing of requests.
 */
package petrelplank.transport;
