package petrelplank.proxy;

/** One attempt of an exchange. */
public final class Attempt {
    final Exchange exchange;
    final int number;
    private final long sentUs;
    private final long untilUs;
    private final String server;
    private final UpstreamRequest fetch;
    boolean ended;
    EventLoop.Timer timer;

    Attempt(Exchange exchange, int number, String server, UpstreamRequest fetch, long sentUs, long untilUs) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.fetch = fetch;
        this.sentUs = sentUs;
        this.untilUs = untilUs;
    }

    /**
     * Who is asked.
     *
     * @return the server's id
     */
    public String server() {
        return server;
    }

    /**
     * What is asked.
     *
     * @return the command
     */
    public UpstreamRequest request() {
        return fetch;
    }

    /**
     * Whether the client still waits; the event thread may not have come to hear yet that it does not. Any thread.
     *
     * @return false once the client has closed its connection or cancelled the request, or was answered
     */
    public boolean isAwaited() {
        return exchange.channel.isOpen();
    }

    /**
     * When the router ordered it.
     *
     * @return Unix time in microseconds
     */
    public long sentUs() {
        return sentUs;
    }

    /**
     * How long the front still waits for it.
     *
     * @param nowUs the clock
     * @return milliseconds, at least 1
     */
    public long limitMs(long nowUs) {
        return Math.max(1, (untilUs - nowUs + 999) / 1000);
    }
}
