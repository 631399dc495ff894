package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import petrelplank.proxy.ClientResponse;

/** Writes answers as FastCGI records. */
final class RecordEncoder {
    private static final int LONGEST = 65_528;

    private RecordEncoder() {}

    static byte[] answer(int id, ClientResponse answer) {
        StringBuilder head = new StringBuilder(128)
                .append(
                        switch (answer.kind()) {
                            case SERVED, NOT_MODIFIED -> "Status: 200 OK\r\n";
                            case REJECTED -> "Status: 503 Service Unavailable\r\n";
                            case FAILED -> "Status: 504 Gateway Timeout\r\n";
                            case BAD_REQUEST -> "Status: 400 Bad Request\r\n";
                        });
        if (answer.kind() == ClientResponse.Kind.NOT_MODIFIED) {
            head.append("X-Still: 1\r\n");
        }
        if (answer.retryAfterMs() > 0) {
            head.append("Retry-After-Ms: ").append(answer.retryAfterMs()).append("\r\n");
        }
        head.append("Content-Type: application/octet-stream\r\nContent-Length: ")
                .append(answer.body().length)
                .append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = answer.body();
        Out out = new Out(start.length + body.length + 64);
        int first = Math.min(body.length, LONGEST - start.length);
        out.header(FastCgiRecord.STDOUT, id, start.length + first);
        out.write(start, 0, start.length);
        out.write(body, 0, first);
        for (int at = first; at < body.length; at += LONGEST) {
            int count = Math.min(LONGEST, body.length - at);
            out.header(FastCgiRecord.STDOUT, id, count);
            out.write(body, at, count);
        }
        out.header(FastCgiRecord.STDOUT, id, 0);
        out.end(id, FastCgiRecord.REQUEST_COMPLETE);
        return out.toByteArray();
    }

    static byte[] end(int id, int status) {
        Out out = new Out(16);
        out.end(id, status);
        return out.toByteArray();
    }

    static byte[] record(int type, int id, byte[] content) {
        Out out = new Out(8 + content.length);
        out.header(type, id, content.length);
        out.write(content, 0, content.length);
        return out.toByteArray();
    }

    private static final class Out extends ByteArrayOutputStream {
        Out(int size) {
            super(size);
        }

        void header(int type, int id, int length) {
            write(1);
            write(type);
            write(id >> 8);
            write(id);
            write(length >> 8);
            write(length);
            write(0);
            write(0);
        }

        void end(int id, int status) {
            header(FastCgiRecord.END_REQUEST, id, 8);
            for (int i = 0; i < 8; i++) {
                write(i == 4 ? status : 0);
            }
        }
    }
}
