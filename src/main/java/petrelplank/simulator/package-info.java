/**
 * The adapter between the simulator's protocol and the router. Each line of standard input holds a batch of events, and
 * the reply to it is one line with the actions of the routers. The simulator has its own verbs and field names; only
 * this package maps them to the names of the rest of the program.
 */
package petrelplank.simulator;
