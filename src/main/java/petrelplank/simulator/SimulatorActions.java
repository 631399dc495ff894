package petrelplank.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import java.util.function.Supplier;
import petrelplank.routing.AttemptPlan;
import petrelplank.routing.Router;

/** Writes one instance's actions into the reply. */
final class SimulatorActions implements Router.Actions {
    private final int gateway;
    private final Supplier<JsonGenerator> reply;

    /** For one instance; {@code reply} is the one that is being written. */
    SimulatorActions(int gateway, Supplier<JsonGenerator> reply) {
        this.gateway = gateway;
        this.reply = reply;
    }

    @FunctionalInterface
    private interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    private void action(String verb, Body body) {
        JsonGenerator out = reply.get();
        try {
            out.writeStartObject();
            out.writeStringField("verb", verb);
            out.writeNumberField("gateway", gateway);
            body.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void line(String verb, String field, String text) {
        action(verb, out -> out.writeStringField(field, text));
    }

    @Override
    public void send(String request, AttemptPlan order) {
        action("SERVE_VIA", out -> {
            out.writeStringField("job", request);
            out.writeStringField("cache", order.server());
            out.writeNumberField("limit-us", order.timeoutUs());
            out.writeStringField("fill-from", order.source());
            out.writeNumberField("hold-rank", order.rank());
            out.writeNumberField("copy-age-us", order.maxAgeUs());
            out.writeNumberField(
                    "bits",
                    (order.coalesce() ? 1 : 0)
                            | (order.onlyIfCached() ? 2 : 0)
                            | (order.staleWhileRevalidate() ? 8 : 0));
        });
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        action("DECLINE", out -> {
            out.writeStringField("job", request);
            if (retryAfterUs > 0) {
                out.writeNumberField("retry-after-us", retryAfterUs);
            }
        });
    }

    @Override
    public void fail(String request) {
        line("SURRENDER", "job", request);
    }

    @Override
    public void cancel(String request, int attempt) {
        action("ABANDON", out -> {
            out.writeStringField("job", request);
            out.writeNumberField("send-no", attempt);
        });
    }

    @Override
    public void healthCheck(String server) {
        line("CHECK", "cache", server);
    }

    @Override
    public void gossip(int peer, byte[] data) {
        action("SHARE", out -> {
            if (peer < 0) {
                out.writeStringField("neighbour-id", "all");
            } else {
                out.writeNumberField("neighbour-id", peer);
            }
            out.writeStringField("bytes", HexFormat.of().formatHex(data));
        });
    }

    @Override
    public void setTimer(long token, long atUs) {
        action("AFTER", out -> {
            out.writeNumberField("nonce", token);
            out.writeNumberField("due-at-us", atUs);
        });
    }

    @Override
    public void watchEndpoints() {
        action("WATCH", out -> out.writeBooleanField("enable", true));
    }

    @Override
    public void fetchEndpoints() {
        action("REFRESH", out -> {});
    }

    @Override
    public void log(String line) {
        line("LOG", "words", line);
    }
}
