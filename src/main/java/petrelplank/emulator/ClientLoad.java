package petrelplank.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.ClientResponse;
import petrelplank.routing.Hash;
import petrelplank.routing.Idempotency;

/** The emulated clients: sends requests to randomly chosen proxies and records responses in the ground truth. */
final class ClientLoad {
    private static final int REQUEST_ID_SHIFT = 20;
    private static final byte[] NO_BODY = new byte[0];

    private final EventScheduler clock;
    private final long seed;
    private final UniformRandomProvider random;
    private final Catalogue catalogue;
    private final OpenRequests openRequests;
    private final ProxyFleet proxies;
    private final GroundTruthRecorder truth;
    private long requestsSent;

    ClientLoad(
            EventScheduler clock,
            long seed,
            UniformRandomProvider random,
            Catalogue catalogue,
            OpenRequests openRequests,
            ProxyFleet proxies,
            GroundTruthRecorder truth) {
        this.clock = clock;
        this.seed = seed;
        this.random = random;
        this.catalogue = catalogue;
        this.openRequests = openRequests;
        this.proxies = proxies;
        this.truth = truth;
    }

    /** Returns the number of requests sent so far. */
    long requests() {
        return requestsSent;
    }

    /** Sends requests at random intervals until {@code endUs}. */
    void start(double requestsPerSecond, long endUs) {
        new PoissonProcess(clock, random, requestsPerSecond, 1, endUs, this::sendRequest).start();
    }

    private void sendRequest() {
        Catalogue.Item item = catalogue.draw();
        List<EmulatedProxy> aliveProxies = proxies.alive();
        EmulatedProxy proxy = aliveProxies.get(random.nextInt(aliveProxies.size()));
        requestsSent++;
        ClientRequest request = newClientRequest(hex(Hash.mix(seed ^ requestsSent << REQUEST_ID_SHIFT)), item);
        long bytes = catalogue.transferBytes(item);
        long sentUs = clock.nowUs();
        openRequests.add(request.id(), item);
        truth.requested(proxy, item.serviceClass());
        proxy.handle(request, response -> {
            openRequests.remove(request.id());
            long servedBytes = response.kind() == ClientResponse.Kind.SERVED ? bytes : 0;
            truth.responded(proxy, item.serviceClass(), servedBytes, response.kind(), clock.nowUs() - sentUs);
        });
    }

    private ClientRequest newClientRequest(String id, Catalogue.Item item) {
        boolean needsIdempotencyKey = item.serviceClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        return new ClientRequest(
                id,
                item.serviceClass().deadlineUs(),
                item.serviceClass().name(),
                hex(item.object()),
                0,
                catalogue.group(item.object()),
                0,
                null,
                needsIdempotencyKey ? id : null,
                null,
                NO_BODY);
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }
}
