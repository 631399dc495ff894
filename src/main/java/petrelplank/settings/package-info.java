/**
 * Parses the configuration file of a proxy, and the settings in it, into typed records. JSON is read with the streaming
 * parser and exposed as {@link petrelplank.settings.JsonFields}, so that no other package handles untyped trees.
 */
package petrelplank.settings;
