/**
 * The command line: one class for each sub-command, the setup of the proxy that {@code serve} runs, signal handling and
 * logging. Commands that need more libraries than the proxy run in a separate class loader.
 */
package petrelplank.cli;
