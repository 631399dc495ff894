package petrelplank.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import petrelplank.settings.FormatException;

/** Runs the simulator protocol: reads one batch of events per line and writes one reply line for each. */
public final class SimulatorAdapter {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_INVALID_INPUT = 1;

    private SimulatorAdapter() {}

    /**
     * Processes every input line until the input ends or a line is invalid.
     *
     * @param input the batches of events, one JSON object per line
     * @param output receives the replies and nothing else
     * @param errors receives a message about an invalid line
     * @return the exit status of the process: 0 at the end of the input, 1 after an invalid line
     * @throws IOException if reading the input or writing the output fails
     */
    public static int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        InputStream bufferedInput = new BufferedInputStream(input, BUFFER_BYTES);
        OutputStream bufferedOutput = new BufferedOutputStream(output, BUFFER_BYTES);
        SimulatorSession session = new SimulatorSession();
        LineBuffer line = new LineBuffer();
        ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_BYTES);
        for (long lineNumber = 1; line.read(bufferedInput); lineNumber++) {
            try {
                reply.reset();
                session.process(line.buffer(), line.size(), reply);
            } catch (FormatException e) {
                errors.println("line " + lineNumber + ": " + e.getMessage());
                errors.flush();
                return EXIT_INVALID_INPUT;
            }
            reply.writeTo(bufferedOutput);
            bufferedOutput.write('\n');
            bufferedOutput.flush();
        }
        return EXIT_SUCCESS;
    }

    /** Holds one line of input; the buffer is reused for the next line. */
    private static final class LineBuffer extends ByteArrayOutputStream {
        /** Reads the next line and returns true, or returns false at the end of the input. */
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

        /** Returns the internal buffer, without a copy; the line is its first {@link #size} bytes. */
        byte[] buffer() {
            return buf;
        }
    }
}
