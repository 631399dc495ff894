/** Helpers for the tests of all parsers. */
package petrelplank.wire;
