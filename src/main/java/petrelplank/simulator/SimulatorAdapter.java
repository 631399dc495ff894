package petrelplank.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import petrelplank.settings.FormatException;

/** Reads batches line by line from standard input and writes one reply for each to standard output. */
public final class SimulatorAdapter {

    private SimulatorAdapter() {}

    /**
     * Answers every line.
     *
     * @param input the batches
     * @param output gets replies and nothing else
     * @param errors gets a message on an illegal line
     * @return the exit status
     * @throws IOException when the output breaks
     */
    public static int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        InputStream in = new BufferedInputStream(input, 1 << 16);
        OutputStream out = new BufferedOutputStream(output, 1 << 16);
        SimulatorSession wire = new SimulatorSession();
        Line line = new Line();
        ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
        for (long number = 1; line.read(in); number++) {
            try {
                reply.reset();
                wire.answer(line.bytes(), line.size(), reply);
            } catch (FormatException e) {
                errors.println("line " + number + ": " + e.getMessage());
                errors.flush();
                return 1;
            }
            reply.writeTo(out);
            out.write('\n');
            out.flush();
        }
        return 0;
    }

    /** One line of input, in a buffer that is used again. */
    private static final class Line extends ByteArrayOutputStream {
        boolean read(InputStream in) throws IOException {
            reset();
            int b = in.read();
            if (b < 0) {
                return false;
            }
            for (; b >= 0 && b != '\n'; b = in.read()) {
                write(b);
            }
            return true;
        }

        byte[] bytes() {
            return buf;
        }
    }
}
