/**
 * The command line: one class for each sub-command, the wiring of the proxy that {@code serve} runs, signals and
 * logging. Commands that need more libraries than the proxy run in a class loader of their own.
 */
package petrelplank.cli;
