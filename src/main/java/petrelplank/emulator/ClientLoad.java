package petrelplank.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.ClientResponse;
import petrelplank.routing.Hash;
import petrelplank.routing.Idempotency;

/** The clients: sends requests to proxies drawn at random, and notes the responses in the ground truth. */
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
    private long requests;

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

    /** Requests sent so far. */
    long requests() {
        return requests;
    }

    void start(double requestsPerSecond, long endUs) {
        new PoissonProcess(clock, random, requestsPerSecond, 1, endUs, this::sendRequest).start();
    }

    private void sendRequest() {
        Catalogue.Item item = catalogue.draw();
        List<EmulatedProxy> alive = proxies.alive();
        EmulatedProxy proxy = alive.get(random.nextInt(alive.size()));
        requests++;
        ClientRequest request = request(hex(Hash.mix(seed ^ requests << REQUEST_ID_SHIFT)), item);
        long bytes = catalogue.transferBytes(item);
        long sentUs = clock.nowUs();
        openRequests.opened(request.id(), item);
        truth.requested(proxy, item.serviceClass());
        proxy.handle(request, response -> {
            openRequests.closed(request.id());
            long servedBytes = response.kind() == ClientResponse.Kind.SERVED ? bytes : 0;
            truth.responded(proxy, item.serviceClass(), servedBytes, response.kind(), clock.nowUs() - sentUs);
        });
    }

    private ClientRequest request(String id, Catalogue.Item item) {
        boolean keyed = item.serviceClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        return new ClientRequest(
                id,
                item.serviceClass().deadlineUs(),
                item.serviceClass().name(),
                hex(item.object()),
                0,
                catalogue.group(item.object()),
                0,
                null,
                keyed ? id : null,
                null,
                NO_BODY);
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }
}
