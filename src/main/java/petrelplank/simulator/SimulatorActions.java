package petrelplank.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import java.util.function.Supplier;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.Router;

/** Writes the actions of one proxy's router into the reply, as JSON objects in the simulator's protocol. */
final class SimulatorActions implements Router.Actions {
    /** Bits of the field {@code bits}, which holds the options of an attempt. */
    private static final int COALESCE_BIT = 1;

    private static final int ONLY_IF_CACHED_BIT = 2;
    private static final int STALE_WHILE_REVALIDATE_BIT = 8;

    /** Value of {@code neighbour-id} that addresses all proxies instead of a single one. */
    private static final String ALL_PROXIES = "all";

    private final int proxyNumber;
    private final Supplier<JsonGenerator> reply;

    /**
     * Creates the actions of one proxy.
     *
     * @param proxyNumber the number of the proxy
     * @param reply supplies the generator of the reply that is being written
     */
    SimulatorActions(int proxyNumber, Supplier<JsonGenerator> reply) {
        this.proxyNumber = proxyNumber;
        this.reply = reply;
    }

    @FunctionalInterface
    private interface FieldWriter {
        void write(JsonGenerator output) throws IOException;
    }

    private void writeAction(String verb, FieldWriter fields) {
        JsonGenerator output = reply.get();
        try {
            output.writeStartObject();
            output.writeStringField("verb", verb);
            output.writeNumberField("gateway", proxyNumber);
            fields.write(output);
            output.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeAction(String verb, String field, String value) {
        writeAction(verb, output -> output.writeStringField(field, value));
    }

    /** Reports that the router threw an exception; its proxy processes no events until it is provisioned again. */
    void reportCrash(String description) {
        writeAction("CRASH", "words", description);
    }

    @Override
    public void send(String request, AttemptPlan plan) {
        writeAction("SERVE_VIA", output -> {
            output.writeStringField("job", request);
            output.writeStringField("cache", plan.server());
            output.writeNumberField("limit-us", plan.timeoutUs());
            output.writeStringField("fill-from", plan.source());
            output.writeNumberField("hold-rank", plan.rank());
            output.writeNumberField("copy-age-us", plan.maxAgeUs());
            output.writeNumberField("bits", optionBits(plan));
        });
    }

    private static int optionBits(AttemptPlan plan) {
        return (plan.coalesce() ? COALESCE_BIT : 0)
                | (plan.onlyIfCached() ? ONLY_IF_CACHED_BIT : 0)
                | (plan.staleWhileRevalidate() ? STALE_WHILE_REVALIDATE_BIT : 0);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        writeAction("DECLINE", output -> {
            output.writeStringField("job", request);
            if (retryAfterUs > 0) {
                output.writeNumberField("retry-after-us", retryAfterUs);
            }
        });
    }

    @Override
    public void fail(String request) {
        writeAction("SURRENDER", "job", request);
    }

    @Override
    public void cancel(String request, int attempt) {
        writeAction("ABANDON", output -> {
            output.writeStringField("job", request);
            output.writeNumberField("send-no", attempt);
        });
    }

    @Override
    public void healthCheck(String endpoint) {
        writeAction("CHECK", "cache", endpoint);
    }

    @Override
    public void gossip(int receiver, byte[] message) {
        writeAction("SHARE", output -> {
            if (receiver < 0) {
                output.writeStringField("neighbour-id", ALL_PROXIES);
            } else {
                output.writeNumberField("neighbour-id", receiver);
            }
            output.writeStringField("bytes", HexFormat.of().formatHex(message));
        });
    }

    @Override
    public void setTimer(long token, long atUs) {
        writeAction("AFTER", output -> {
            output.writeNumberField("nonce", token);
            output.writeNumberField("due-at-us", atUs);
        });
    }

    @Override
    public void watchEndpoints() {
        writeAction("WATCH", output -> output.writeBooleanField("enable", true));
    }

    @Override
    public void fetchEndpoints() {
        writeAction("REFRESH", output -> {});
    }

    @Override
    public void log(String line) {
        writeAction("LOG", "words", line);
    }
}
