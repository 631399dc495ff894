/** Shared helpers for the tests of the protocol parsers. */
package petrelplank.wire;
