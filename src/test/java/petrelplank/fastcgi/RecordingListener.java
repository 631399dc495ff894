package petrelplank.fastcgi;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import petrelplank.fastcgi.FastCgiRecord.ProtocolStatus;

/** Records the calls from a {@link RequestAssembler}, as one line of text each. */
final class RecordingListener implements RequestAssembler.Listener {
    final List<String> received = new ArrayList<>();
    /** The value that {@link #openRequests()} returns. */
    int openRequests;

    @Override
    public void request(int id, boolean keepConnection, Map<String, String> params, byte[] body) {
        received.add("request " + id + " " + params + " " + new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void abort(int id) {
        received.add("abort " + id);
    }

    @Override
    public void management(FastCgiRecord record) {
        received.add("management " + record.type());
    }

    @Override
    public void rejected(int id, ProtocolStatus status, boolean keepConnection) {
        received.add("rejected " + id + " " + status.code());
    }

    @Override
    public boolean isOpen(int id) {
        return false;
    }

    @Override
    public int openRequests() {
        return openRequests;
    }
}
