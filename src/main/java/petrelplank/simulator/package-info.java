/**
 * The adapter between the simulator's wire and the router: batches of events come line by line on standard input, and
 * each is answered by one line with the router's actions. Verbs and field names are the simulator's and differ from
 * the names used elsewhere; this package alone maps them.
 */
package petrelplank.simulator;
