package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.function.Consumer;
import petrelplank.transport.MemoryBudget;

/** A request that has not been received completely. I/O thread only. */
final class PartialRequest implements MemoryBudget.Holder {
    /** Memory of a request besides its parameters and body, while it is received and while it is routed, in bytes. */
    static final int OVERHEAD_BYTES = 2_048;

    private static final int INITIAL_PARAMS_BYTES = 512;

    /** A stream that tells the memory it has reserved, which is up to twice its content. */
    private static final class Stream extends ByteArrayOutputStream {
        Stream(int initialBytes) {
            super(initialBytes);
        }

        int reservedBytes() {
            return buf.length;
        }
    }

    /** The part of the memory that the body holds. */
    private final class BodyHolder implements MemoryBudget.Holder {
        @Override
        public long heldBytes() {
            return body.reservedBytes();
        }

        @Override
        public void giveUp() {
            PartialRequest.this.giveUp();
        }
    }

    private final boolean keepConnection;
    private final Consumer<PartialRequest> onGivenUp;
    private final BodyHolder bodyHolder = new BodyHolder();
    private final Stream params = new Stream(INITIAL_PARAMS_BYTES);
    private final Stream body = new Stream(0);
    private boolean paramsComplete;

    /**
     * Creates a request of which nothing but its beginning has been received.
     *
     * @param keepConnection whether the connection stays open after the response
     * @param onGivenUp rejects the request, to give its memory to others
     */
    PartialRequest(boolean keepConnection, Consumer<PartialRequest> onGivenUp) {
        this.keepConnection = keepConnection;
        this.onGivenUp = onGivenUp;
    }

    boolean keepsConnection() {
        return keepConnection;
    }

    /** Bytes of memory that the request holds, its body included. */
    @Override
    public long heldBytes() {
        return OVERHEAD_BYTES + params.reservedBytes() + body.reservedBytes();
    }

    @Override
    public void giveUp() {
        onGivenUp.accept(this);
    }

    MemoryBudget.Holder bodyHolder() {
        return bodyHolder;
    }

    boolean isParamsComplete() {
        return paramsComplete;
    }

    void endParams() {
        paramsComplete = true;
    }

    ByteArrayOutputStream params() {
        return params;
    }

    ByteArrayOutputStream body() {
        return body;
    }

    /** Bytes of memory that the request holds once it is complete and these buffers are gone. */
    int heldBytesWhenComplete() {
        return OVERHEAD_BYTES + params.size() + body.size();
    }

    /**
     * Decodes the parameters.
     *
     * @throws ProtocolViolationException if they are not name-value pairs
     */
    Map<String, String> decodeParams() {
        return NameValuePairs.decode(params.toByteArray());
    }
}
