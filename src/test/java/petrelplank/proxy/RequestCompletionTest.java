package petrelplank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestCompletionTest {
    private final EventLoop loop = new EventLoop(() -> 0);
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestCompletion completion = new RequestCompletion(openRequests, new NoOpEventRecorder());
    private final List<ClientResponse.Kind> sent = new ArrayList<>();
    private final List<String> fired = new ArrayList<>();

    private Exchange open(String id) {
        Exchange exchange = Attempts.of(id, 0, response -> sent.add(response.kind())).exchange;
        exchange.deadlineTimer = loop.at(0, () -> fired.add(id));
        openRequests.add(exchange);
        return exchange;
    }

    /** A second response would invalidate the request; after a disconnect there is no client to respond to. */
    @Test
    void onlyTheFirstResponseIsSentAndCounted() {
        Exchange answered = open("aaaaaaaaaaaaaaaa");
        completion.answer(answered, ClientResponse.of(ClientResponse.Kind.NOT_MODIFIED));
        completion.answer(answered, ClientResponse.of(ClientResponse.Kind.FAILED));
        Exchange disconnected = open("bbbbbbbbbbbbbbbb");
        completion.clientDisconnected(disconnected);
        completion.answer(disconnected, ClientResponse.of(ClientResponse.Kind.FAILED));
        assertThat(sent).containsExactly(ClientResponse.Kind.NOT_MODIFIED);
        assertThat(openRequests.size()).isZero();
        assertThat(completion.counts())
                .isEqualTo("served 0, still 1, refused 0, failed 0, bad_request 0, rejected before routing 0, "
                        + "clients disconnected 1, deadline exceeded 0");
    }

    @Test
    void completionCancelsTheDeadlineTimer() {
        completion.answer(open("aaaaaaaaaaaaaaaa"), ClientResponse.rejected(0));
        completion.clientDisconnected(open("bbbbbbbbbbbbbbbb"));
        open("cccccccccccccccc");
        loop.turn();
        assertThat(fired).containsExactly("cccccccccccccccc");
    }
}
