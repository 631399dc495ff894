package petrelplank.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import petrelplank.settings.FormatException;

/** Reads batches of events line by line and writes one reply for each. */
public final class SimulatorAdapter {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_OK = 0;
    private static final int EXIT_ILLEGAL_INPUT = 1;

    private SimulatorAdapter() {}

    /**
     * Replies to every line until the input ends.
     *
     * @param input the batches
     * @param output gets replies and nothing else
     * @param errors gets a message on an illegal line
     * @return the exit status
     * @throws IOException when the output breaks
     */
    public static int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        InputStream bufferedInput = new BufferedInputStream(input, BUFFER_BYTES);
        OutputStream bufferedOutput = new BufferedOutputStream(output, BUFFER_BYTES);
        SimulatorSession session = new SimulatorSession();
        Line line = new Line();
        ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_BYTES);
        for (long number = 1; line.read(bufferedInput); number++) {
            try {
                reply.reset();
                session.process(line.bytes(), line.size(), reply);
            } catch (FormatException e) {
                errors.println("line " + number + ": " + e.getMessage());
                errors.flush();
                return EXIT_ILLEGAL_INPUT;
            }
            reply.writeTo(bufferedOutput);
            bufferedOutput.write('\n');
            bufferedOutput.flush();
        }
        return EXIT_OK;
    }

    /** One line of input, in a buffer that is reused. */
    private static final class Line extends ByteArrayOutputStream {
        /** Reads the next line; false at the end of the input. */
        boolean read(InputStream input) throws IOException {
            reset();
            int next = input.read();
            if (next < 0) {
                return false;
            }
            while (next >= 0 && next != '\n') {
                write(next);
                next = input.read();
            }
            return true;
        }

        /** The buffer, of which the first {@link #size} bytes are the line. */
        byte[] bytes() {
            return buf;
        }
    }
}
