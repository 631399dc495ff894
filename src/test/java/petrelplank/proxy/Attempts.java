package petrelplank.proxy;

/** Attempts without a pipeline, for tests of upstream connections. */
public final class Attempts {
    private Attempts() {}

    /** An attempt at server s-1 to read an object, for a request id; its client waits. */
    public static Attempt of(String request, int number) {
        return of(request, number, answer -> {});
    }

    /** The same, for a request that is answered on a channel. */
    public static Attempt of(String request, int number, ResponseChannel channel) {
        ClientRequest clientRequest = new ClientRequest(
                request, 1_000_000, "media", "7f3a9c21e0b4d655", 0, 0, 0, null, null, null, new byte[0]);
        return new Attempt(
                new Exchange(clientRequest, channel, 0, 1_000_000),
                number,
                "s-1",
                new UpstreamRequest(
                        request,
                        "media",
                        "7f3a9c21e0b4d655",
                        0,
                        null,
                        0,
                        0,
                        false,
                        false,
                        false,
                        null,
                        null,
                        new byte[0],
                        false),
                0,
                1_000_000);
    }
}
