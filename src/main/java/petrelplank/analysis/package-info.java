/**
 * The course of an incident: records folded into the fleet's state, figures and findings. No I/O, no clock. The fold
 * gives the same state whatever order entries come in and however often one comes.
 */
package petrelplank.analysis;
