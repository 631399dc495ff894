/**
 * FastCGI responder that receives requests from clients. The I/O thread reads records from the connections of web
 * servers ({@link petrelplank.fastcgi.RecordParser}), assembles them into requests and posts these to the event thread,
 * which writes the responses. Connections that are idle or send no requests are closed, and the file descriptors and
 * memory that clients can use are limited.
 */
package petrelplank.fastcgi;
