package petrelplank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestCompletionTest {
    private final EventLoop loop = new EventLoop(() -> 0);
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestCompletion completion = new RequestCompletion(openRequests, new NoOpEventRecorder());
    private final List<ClientResponse.Kind> sentKinds = new ArrayList<>();
    private final List<String> firedTimers = new ArrayList<>();

    private Exchange addExchange(String id) {
        Exchange exchange = AttemptFixtures.of(id, 0, response -> sentKinds.add(response.kind())).exchange;
        exchange.deadlineTimer = loop.schedule(0, () -> firedTimers.add(id));
        openRequests.add(exchange);
        return exchange;
    }

    /** A second response would invalidate the request; after a disconnect there is no client to respond to. */
    @Test
    void onlyTheFirstResponseIsSentAndCounted() {
        Exchange answered = addExchange("aaaaaaaaaaaaaaaa");
        completion.sendResponse(answered, ClientResponse.of(ClientResponse.Kind.NOT_MODIFIED));
        completion.sendResponse(answered, ClientResponse.of(ClientResponse.Kind.FAILED));
        Exchange disconnected = addExchange("bbbbbbbbbbbbbbbb");
        completion.clientDisconnected(disconnected);
        completion.sendResponse(disconnected, ClientResponse.of(ClientResponse.Kind.FAILED));
        assertThat(sentKinds).containsExactly(ClientResponse.Kind.NOT_MODIFIED);
        assertThat(openRequests.size()).isZero();
        assertThat(completion.counts())
                .isEqualTo("served 0, still 1, refused 0, failed 0, bad_request 0, rejected before routing 0, "
                        + "clients disconnected 1, deadline exceeded 0");
    }

    @Test
    void completionCancelsTheDeadlineTimer() {
        completion.sendResponse(addExchange("aaaaaaaaaaaaaaaa"), ClientResponse.rejected(0));
        completion.clientDisconnected(addExchange("bbbbbbbbbbbbbbbb"));
        addExchange("cccccccccccccccc");
        loop.runOnce();
        assertThat(firedTimers).containsExactly("cccccccccccccccc");
    }
}
