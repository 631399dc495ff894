package petrelplank.emulator;

import java.util.HashMap;
import java.util.Map;

/** The requested items of open client requests, from which the network determines the size of a response. */
final class OpenRequests {
    private final Map<String, Catalogue.Item> items = new HashMap<>();

    void add(String requestId, Catalogue.Item item) {
        items.put(requestId, item);
    }

    void remove(String requestId) {
        items.remove(requestId);
    }

    /** Returns the item of a request, or null if the client has already received its response. */
    Catalogue.Item item(String requestId) {
        return items.get(requestId);
    }
}
