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
    private static final int COALESCE = 1;

    private static final int ONLY_IF_CACHED = 2;
    private static final int STALE_WHILE_REVALIDATE = 8;

    /** Value of {@code neighbour-id} that addresses all proxies instead of a single one. */
    private static final String ALL_GATEWAYS = "all";

    private final int gateway;
    private final Supplier<JsonGenerator> reply;

    /**
     * Creates the actions of one proxy.
     *
     * @param gateway the number of the proxy
     * @param reply supplies the generator of the reply that is being written
     */
    SimulatorActions(int gateway, Supplier<JsonGenerator> reply) {
        this.gateway = gateway;
        this.reply = reply;
    }

    @FunctionalInterface
    private interface FieldWriter {
        void write(JsonGenerator output) throws IOException;
    }

    private void action(String verb, FieldWriter fields) {
        JsonGenerator output = reply.get();
        try {
            output.writeStartObject();
            output.writeStringField("verb", verb);
            output.writeNumberField("gateway", gateway);
            fields.write(output);
            output.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void action(String verb, String field, String text) {
        action(verb, output -> output.writeStringField(field, text));
    }

    /** Reports that the router threw an exception; it receives no events until it is provisioned again. */
    void crashed(String description) {
        action("CRASH", "words", description);
    }

    @Override
    public void send(String request, AttemptPlan plan) {
        action("SERVE_VIA", output -> {
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
        return (plan.coalesce() ? COALESCE : 0)
                | (plan.onlyIfCached() ? ONLY_IF_CACHED : 0)
                | (plan.staleWhileRevalidate() ? STALE_WHILE_REVALIDATE : 0);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        action("DECLINE", output -> {
            output.writeStringField("job", request);
            if (retryAfterUs > 0) {
                output.writeNumberField("retry-after-us", retryAfterUs);
            }
        });
    }

    @Override
    public void fail(String request) {
        action("SURRENDER", "job", request);
    }

    @Override
    public void cancel(String request, int attempt) {
        action("ABANDON", output -> {
            output.writeStringField("job", request);
            output.writeNumberField("send-no", attempt);
        });
    }

    @Override
    public void healthCheck(String endpoint) {
        action("CHECK", "cache", endpoint);
    }

    @Override
    public void gossip(int receiver, byte[] message) {
        action("SHARE", output -> {
            if (receiver < 0) {
                output.writeStringField("neighbour-id", ALL_GATEWAYS);
            } else {
                output.writeNumberField("neighbour-id", receiver);
            }
            output.writeStringField("bytes", HexFormat.of().formatHex(message));
        });
    }

    @Override
    public void setTimer(long token, long atUs) {
        action("AFTER", output -> {
            output.writeNumberField("nonce", token);
            output.writeNumberField("due-at-us", atUs);
        });
    }

    @Override
    public void watchEndpoints() {
        action("WATCH", output -> output.writeBooleanField("enable", true));
    }

    @Override
    public void fetchEndpoints() {
        action("REFRESH", output -> {});
    }

    @Override
    public void log(String line) {
        action("LOG", "words", line);
    }
}
