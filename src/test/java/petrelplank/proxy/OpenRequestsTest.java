package petrelplank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OpenRequestsTest {
    private final EventLoop loop = new EventLoop(() -> 0);
    private final OpenRequests openRequests = new OpenRequests();

    private Exchange addExchange(String id) {
        Exchange exchange = AttemptFixtures.of(id, 0).exchange;
        exchange.deadlineTimer = loop.schedule(1_000_000, () -> {});
        openRequests.add(exchange);
        return exchange;
    }

    @Test
    void exchangeStaysUntilItIsCompletedAndItsLastAttemptHasEnded() {
        Exchange exchange = addExchange("aaaaaaaaaaaaaaaa");
        Attempt first = AttemptFixtures.of("aaaaaaaaaaaaaaaa", 0);
        Attempt second = AttemptFixtures.of("aaaaaaaaaaaaaaaa", 1);
        exchange.attempts.add(first);
        exchange.attempts.add(second);
        first.markEnded();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.find("aaaaaaaaaaaaaaaa")).isSameAs(exchange);
        assertThat(openRequests.hasPendingRequests()).isTrue();
        exchange.markCompleted();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.contains("aaaaaaaaaaaaaaaa")).isTrue();
        assertThat(openRequests.hasPendingRequests()).isFalse();
        second.markEnded();
        openRequests.removeIfFinished(exchange);
        assertThat(openRequests.size()).isZero();
    }

    /** A request whose client disconnects while its routing is deferred is removed, and must not be routed later. */
    @Test
    void deferredExchangesKeepTheirOrderWithoutThoseThatAreFinished() {
        Exchange first = addExchange("cccccccccccccccc");
        Exchange second = addExchange("aaaaaaaaaaaaaaaa");
        Exchange third = addExchange("bbbbbbbbbbbbbbbb");
        openRequests.deferRouting(first);
        openRequests.deferRouting(second);
        openRequests.deferRouting(third);
        second.markCompleted();
        openRequests.removeIfFinished(second);
        assertThat(openRequests.takeDeferred()).containsExactly(first, third);
        assertThat(openRequests.takeDeferred()).isEmpty();
        assertThat(openRequests.size()).isEqualTo(2);
    }
}
