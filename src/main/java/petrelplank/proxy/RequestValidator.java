package petrelplank.proxy;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.Idempotency;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;

/**
 * Stage 1: makes an exchange of a client's request. A request with fields that can't be passed on upstream is answered
 * here, since a malformed command would void others on its connection too.
 */
final class RequestValidator {
    /** Subtracted from the time that a client waits, so that a response at the deadline still reaches it. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** The margin is at most this part of the time that a client waits. */
    private static final int MARGIN_DIVISOR = 4;

    private static final int MAX_TOKEN_LENGTH = 128;
    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;
    private static final int MAX_GROUP = 255;
    private static final char ASCII_DELETE = 0x7f;

    private final AdmissionController admission;
    private final EventRecorder recorder;
    /** The longest that a client waits, by class name. */
    private final Map<String, Long> deadlineUsByClass;
    /** Names of the classes whose requests carry an idempotency key, by which the origin drops duplicates. */
    private final Set<String> keyedClasses;

    RequestValidator(AdmissionController admission, RouterSettings settings, EventRecorder recorder) {
        this.admission = admission;
        this.recorder = recorder;
        this.deadlineUsByClass =
                settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, ServiceClass::deadlineUs));
        this.keyedClasses = settings.classes().stream()
                .filter(type -> type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    /** Handles a request that was complete at {@code arrivedUs}. */
    void handle(ClientRequest request, ResponseChannel channel, long arrivedUs) {
        if (!isValid(request)) {
            recorder.requestRejected(request, ClientResponse.Kind.BAD_REQUEST);
            channel.answer(ClientResponse.of(ClientResponse.Kind.BAD_REQUEST));
            return;
        }
        // Guards against a time-out longer than any client's, which would hold its place and memory for as long.
        long waitUs = Math.min(request.timeoutUs(), deadlineUsByClass.get(request.serviceClass()));
        long marginUs = Math.min(RESPONSE_MARGIN_US, waitUs / MARGIN_DIVISOR);
        admission.admit(new Exchange(request, channel, arrivedUs, arrivedUs + waitUs - marginUs));
    }

    private boolean isValid(ClientRequest request) {
        return isHexId(request.id())
                && isHexId(request.object())
                && request.timeoutUs() > 0
                && deadlineUsByClass.containsKey(request.serviceClass())
                && request.part() >= 0
                && isGroup(request.group())
                && (request.tag() == null || isToken(request.tag()))
                && hasValidKey(request);
    }

    private boolean hasValidKey(ClientRequest request) {
        return request.key() == null ? !keyedClasses.contains(request.serviceClass()) : isToken(request.key());
    }

    private static boolean isGroup(int group) {
        return group >= 0 && group <= MAX_GROUP;
    }

    private static boolean isHexId(String text) {
        return text.length() == HEX_DIGITS
                && text.chars().allMatch(c -> c < ASCII_DELETE && Character.digit(c, HEX_RADIX) >= 0);
    }

    /** Whether a text may stand as one word in a command line or in a list of fields. */
    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_TOKEN_LENGTH
                && text.chars().allMatch(c -> c > ' ' && c < ASCII_DELETE && c != ',' && c != '=');
    }
}
