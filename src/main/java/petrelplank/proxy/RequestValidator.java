package petrelplank.proxy;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.Idempotency;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/**
 * Stage 1: checks a client's request and creates its exchange. A request with fields that cannot be passed on upstream
 * is rejected here, because a malformed command would also invalidate other requests on its upstream connection.
 */
final class RequestValidator {
    /** Subtracted from the client's timeout, so that a response sent at the deadline still reaches the client. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** The margin is at most the client's timeout divided by this. */
    private static final int MARGIN_DIVISOR = 4;

    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final int MAX_GROUP = 255;
    private static final char ASCII_DELETE = 0x7f;

    private final AdmissionController admission;
    private final EventRecorder recorder;
    /** The longest time that a client waits, by service class name. */
    private final Map<String, Long> deadlineUsByClass;
    /** Names of the service classes whose requests need an idempotency key, by which the origin drops duplicates. */
    private final Set<String> idempotencyKeyClasses;

    RequestValidator(AdmissionController admission, RouterSettings settings, EventRecorder recorder) {
        this.admission = admission;
        this.recorder = recorder;
        this.deadlineUsByClass =
                settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, ServiceClass::deadlineUs));
        this.idempotencyKeyClasses = settings.classes().stream()
                .filter(serviceClass -> serviceClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    /** Admits a valid request that was complete at {@code arrivedUs}; answers an invalid one as a bad request. */
    void handle(ClientRequest request, ResponseChannel channel, long arrivedUs) {
        if (!isValid(request)) {
            recorder.requestRejected(request, ClientResponse.Kind.BAD_REQUEST);
            channel.sendResponse(ClientResponse.of(ClientResponse.Kind.BAD_REQUEST));
            return;
        }
        // Without the limit of its class, a request with a huge timeout could hold its slot and memory for that long.
        long timeoutUs = Math.min(request.timeoutUs(), deadlineUsByClass.get(request.serviceClass()));
        long marginUs = Math.min(RESPONSE_MARGIN_US, timeoutUs / MARGIN_DIVISOR);
        admission.admit(new Exchange(request, channel, arrivedUs, arrivedUs + timeoutUs - marginUs));
    }

    private boolean isValid(ClientRequest request) {
        return isHexId(request.id())
                && isHexId(request.object())
                && request.timeoutUs() > 0
                && deadlineUsByClass.containsKey(request.serviceClass())
                && request.part() >= 0
                && isGroup(request.group())
                && (request.clientTag() == null || isToken(request.clientTag()))
                && hasValidKey(request);
    }

    private boolean hasValidKey(ClientRequest request) {
        return request.idempotencyKey() == null
                ? !idempotencyKeyClasses.contains(request.serviceClass())
                : isToken(request.idempotencyKey());
    }

    private static boolean isGroup(int group) {
        return group >= 0 && group <= MAX_GROUP;
    }

    private static boolean isHexId(String text) {
        return text.length() == HEX_DIGITS
                && text.chars()
                        .allMatch(character -> character < ASCII_DELETE && Character.digit(character, HEX_RADIX) >= 0);
    }

    /** Whether a text can be sent as a single word of an upstream command, or as a value in its list of fields. */
    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_TOKEN_LENGTH
                && text.chars()
                        .allMatch(character ->
                                character > ' ' && character < ASCII_DELETE && character != ',' && character != '=');
    }
}
