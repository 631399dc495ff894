/**
 * The clients' side: a FastCGI responder. Connections of web servers are read in the I/O thread, record by record
 * ({@link petrelplank.fastcgi.RecordParser}), assembled to requests and posted to the event thread; responses are
 * written from there. Idle connections and those that send no requests are closed, and what clients may hold in
 * descriptors and memory is bounded.
 */
package petrelplank.fastcgi;
