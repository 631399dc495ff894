/**
 * Event records: the model ({@link petrelplank.record.Event}, {@link petrelplank.record.Entry}), its Avro encoding, the
 * sinks that a proxy records events in, and the reader of record files. The names in the file format are independent of
 * the Java names, see {@link petrelplank.record.StoredName}.
 */
package petrelplank.record;
