package petrelplank.emulator;

import java.util.HashMap;
import java.util.Map;

/** What the clients' open requests are about; servers look up there how large a response is. */
final class OpenRequests {
    private final Map<String, Catalogue.Item> items = new HashMap<>();

    void opened(String requestId, Catalogue.Item item) {
        items.put(requestId, item);
    }

    void closed(String requestId) {
        items.remove(requestId);
    }

    /** The item of a request; null where the client has had its response. */
    Catalogue.Item item(String requestId) {
        return items.get(requestId);
    }
}
