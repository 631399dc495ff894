package petrelplank.proxy;

/** One attempt of an exchange: a request to one upstream server, with a time limit of its own. */
public final class Attempt {
    private static final int US_PER_MS = 1000;

    final Exchange exchange;
    /** From 0, in the order sent. */
    final int number;

    private final String server;
    private final UpstreamRequest request;
    private final long sentUs;
    private final long timeoutAtUs;
    /** Ends it when its time is up; null in tests that send it to no server. */
    private EventLoop.Timer timeout;

    private boolean ended;

    Attempt(Exchange exchange, int number, String server, UpstreamRequest request, long sentUs, long timeoutAtUs) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.request = request;
        this.sentUs = sentUs;
        this.timeoutAtUs = timeoutAtUs;
    }

    /** Names the timer that is cancelled when the attempt ends. */
    void startTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    /** It has ended, however; its time-out no longer fires. */
    void end() {
        ended = true;
        if (timeout != null) {
            timeout.cancel();
        }
    }

    boolean hasEnded() {
        return ended;
    }

    /**
     * The server that is asked.
     *
     * @return the server's id
     */
    public String server() {
        return server;
    }

    /**
     * What the server is asked.
     *
     * @return the request
     */
    public UpstreamRequest request() {
        return request;
    }

    /**
     * Whether the client still waits for its response, of which the event thread may not know yet. Any thread.
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
     * How long the proxy still waits for it.
     *
     * @param nowUs the clock
     * @return milliseconds, rounded up, at least 1
     */
    public long remainingMs(long nowUs) {
        return Math.max(1, (timeoutAtUs - nowUs + US_PER_MS - 1) / US_PER_MS);
    }
}
