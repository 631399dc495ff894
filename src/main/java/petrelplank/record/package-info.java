/**
 * Event records: the model ({@link petrelplank.record.Event}, {@link petrelplank.record.Entry}), its Avro encoding, the
 * sinks that a proxy writes to, and the reader. The file format outlives Java names, see
 * {@link petrelplank.record.StoredName}.
 */
package petrelplank.record;
