package petrelplank.proxy;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.Idempotency;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/**
 * Stage 1: makes an exchange of what a client asked. What can't be passed on as it is, is answered here, since
 * a command with unusable fields would void more than the one request.
 */
final class RequestValidator {
    /** Taken off a client's patience, so that the answer given at the deadline still reaches it. */
    static final long MARGIN_US = 25_000;

    private static final int LONGEST_NAME = 128;
    private static final int HEX_DIGITS = 16;
    private static final int LAST_GROUP = 255;

    private final AdmissionController admit;
    private final SinkEventRecorder scribe;
    /** How long clients wait at most, by class. */
    private final Map<String, Long> longest;
    /** The classes whose requests carry a key, by which the origin drops repeats. */
    private final Set<String> keyed;

    RequestValidator(AdmissionController admit, RouterSettings settings, SinkEventRecorder scribe) {
        this.admit = admit;
        this.scribe = scribe;
        this.longest =
                settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, ServiceClass::deadlineUs));
        this.keyed = settings.classes().stream()
                .filter(c -> c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    /** Takes a request that arrived whole at {@code arrivedUs}; null where it was answered at once. */
    Exchange take(ClientRequest asked, ResponseChannel channel, long arrivedUs) {
        if (!usable(asked)) {
            scribe.turnedAway(asked, ClientResponse.Kind.BAD_REQUEST);
            channel.answer(ClientResponse.of(ClientResponse.Kind.BAD_REQUEST));
            return null;
        }
        // Guards against a wait beyond all clients', which would hold its place and memory for as long.
        long waitUs = Math.min(asked.timeoutUs(), longest.get(asked.serviceClass()));
        long marginUs = Math.min(MARGIN_US, waitUs / 4);
        return admit.admit(new Exchange(asked, channel, arrivedUs, arrivedUs + waitUs - marginUs));
    }

    private boolean usable(ClientRequest asked) {
        return hex(asked.id())
                && hex(asked.object())
                && asked.timeoutUs() > 0
                && longest.containsKey(asked.serviceClass())
                && asked.part() >= 0
                && asked.group() >= 0
                && asked.group() <= LAST_GROUP
                && (asked.tag() == null || word(asked.tag()))
                && (asked.key() == null ? !keyed.contains(asked.serviceClass()) : word(asked.key()));
    }

    private static boolean hex(String text) {
        return text.length() == HEX_DIGITS && text.chars().allMatch(c -> c < 0x7f && Character.digit(c, 16) >= 0);
    }

    /** One word that may stand in a command line or a field list. */
    private static boolean word(String text) {
        return !text.isEmpty()
                && text.length() <= LONGEST_NAME
                && text.chars().allMatch(c -> c > ' ' && c < 0x7f && c != ',' && c != '=');
    }
}
