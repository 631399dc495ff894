package petrelplank.proxy;

/** One attempt of an exchange: a request to one upstream server, with its own timeout. */
public final class Attempt {
    private static final int US_PER_MS = 1000;

    final Exchange exchange;
    /** The position among the attempts of the exchange in the order sent, from 0. */
    final int number;

    private final String server;
    private final UpstreamRequest request;
    private final long sentUs;
    private final long timeoutAtUs;
    private final long sendByUs;
    /** Ends the attempt at its timeout; null in tests that do not send the attempt. */
    private Timer timeoutTimer;

    private boolean ended;
    /** Whether what the attempt was planned by no longer holds. Written by the event thread, read by any thread. */
    private volatile boolean revoked;

    Attempt(
            Exchange exchange,
            int number,
            String server,
            UpstreamRequest request,
            long sentUs,
            long timeoutAtUs,
            long sendByUs) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.request = request;
        this.sentUs = sentUs;
        this.timeoutAtUs = timeoutAtUs;
        this.sendByUs = sendByUs;
    }

    /** Sets the timeout timer, which is cancelled when the attempt ends. */
    void setTimeoutTimer(Timer timer) {
        timeoutTimer = timer;
    }

    /** Marks the attempt as ended, with or without a response, and cancels its timeout. */
    void markEnded() {
        ended = true;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
    }

    boolean hasEnded() {
        return ended;
    }

    /**
     * The server that the attempt is sent to.
     *
     * @return the server's id
     */
    public String server() {
        return server;
    }

    /**
     * The request that is sent to the server.
     *
     * @return the request
     */
    public UpstreamRequest request() {
        return request;
    }

    /**
     * Whether the client still waits for its response. May be called from any thread, and may return false before the
     * event thread has processed the client's disconnect.
     *
     * @return false once the client has closed its connection, cancelled the request or received its response
     */
    public boolean isClientWaiting() {
        return exchange.channel.isOpen();
    }

    /**
     * Marks the attempt as one that must not be written any more, because a drain or a purge has been told since it was
     * planned, for example. Event thread only.
     */
    public void revoke() {
        revoked = true;
    }

    /**
     * Whether the first byte of the attempt may be written: its client waits, nothing it was planned by has changed,
     * and the time until which it may be sent is not over. May be called from any thread.
     *
     * @param nowUs the current time, Unix time in microseconds
     * @return false if the attempt has to be withdrawn
     */
    public boolean mayBeWritten(long nowUs) {
        return !revoked && nowUs < sendByUs && isClientWaiting();
    }

    /**
     * The group of the requested object.
     *
     * @return its number
     */
    public int group() {
        return exchange.request.group();
    }

    /**
     * When the router requested the attempt.
     *
     * @return Unix time in microseconds
     */
    public long sentUs() {
        return sentUs;
    }

    /**
     * The time left until the attempt's timeout.
     *
     * @param nowUs the current time, Unix time in microseconds
     * @return milliseconds, rounded up, at least 1
     */
    public long remainingMs(long nowUs) {
        return Math.max(1, (timeoutAtUs - nowUs + US_PER_MS - 1) / US_PER_MS);
    }
}
