/**
 * The configuration file of a proxy and the settings in it, read into typed records. JSON is read with the streaming
 * parser and handed on as {@link petrelplank.settings.JsonFields}, so that no other package handles untyped trees.
 */
package petrelplank.settings;
