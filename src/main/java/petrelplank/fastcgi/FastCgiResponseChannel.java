package petrelplank.fastcgi;

import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.ResponseChannel;

/** The way back to a FastCGI client, for one request on its connection. */
final class FastCgiResponseChannel implements ResponseChannel {
    private final FastCgiConnection connection;
    private final int id;
    private final boolean keep;
    final String requestId;
    final int bytes;

    FastCgiResponseChannel(FastCgiConnection connection, int id, boolean keep, String requestId, int bytes) {
        this.connection = connection;
        this.id = id;
        this.keep = keep;
        this.requestId = requestId;
        this.bytes = bytes;
    }

    /** Whoever takes the id off the connection first, an answer or an abort, has the last word. */
    @Override
    public void answer(ClientResponse answer) {
        connection.writing.incrementAndGet();
        boolean owed = connection.open.remove(id, this);
        if (owed) {
            connection.answered(bytes);
            connection.write(RecordEncoder.answer(id, answer));
        }
        connection.writing.decrementAndGet();
        if (owed && !keep) {
            connection.finish();
        }
    }

    @Override
    public boolean isOpen() {
        return connection.open.get(id) == this;
    }
}
