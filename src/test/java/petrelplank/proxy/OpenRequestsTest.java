package petrelplank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OpenRequestsTest {
    private final EventLoop loop = new EventLoop(() -> 0);
    private final OpenRequests openRequests = new OpenRequests();

    private Exchange open(String id) {
        Exchange exchange = Attempts.of(id, 0).exchange;
        exchange.deadlineTimer = loop.at(1_000_000, () -> {});
        openRequests.add(exchange);
        return exchange;
    }

    @Test
    void exchangeStaysUntilItIsCompletedAndItsLastAttemptHasEnded() {
        Exchange exchange = open("aaaaaaaaaaaaaaaa");
        Attempt first = Attempts.of("aaaaaaaaaaaaaaaa", 0);
        Attempt second = Attempts.of("aaaaaaaaaaaaaaaa", 1);
        exchange.attempts.add(first);
        exchange.attempts.add(second);
        first.end();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.find("aaaaaaaaaaaaaaaa")).isSameAs(exchange);
        assertThat(openRequests.hasPendingRequests()).isTrue();
        exchange.complete();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.contains("aaaaaaaaaaaaaaaa")).isTrue();
        assertThat(openRequests.hasPendingRequests()).isFalse();
        second.end();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.size()).isZero();
    }

    /** A request whose client disconnects while routing is paused is removed, and must not be routed later. */
    @Test
    void deferredExchangesKeepTheirOrderWithoutThoseThatAreFinished() {
        Exchange first = open("cccccccccccccccc");
        Exchange second = open("aaaaaaaaaaaaaaaa");
        Exchange third = open("bbbbbbbbbbbbbbbb");
        openRequests.deferRouting(first);
        openRequests.deferRouting(second);
        openRequests.deferRouting(third);
        second.complete();
        openRequests.removeIfFinished(second);
        assertThat(openRequests.takeUnrouted()).containsExactly(first, third);
        assertThat(openRequests.takeUnrouted()).isEmpty();
        assertThat(openRequests.size()).isEqualTo(2);
    }
}
