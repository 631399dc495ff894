package petrelplank.cli;

import java.io.IOException;
import petrelplank.simulator.SimulatorAdapter;

/** {@code simulate}: runs the router of {@code serve} with the simulator's protocol on standard input and output. */
public final class SimulateCommand extends BaseCommand {
    /** Called by args4j through reflection. */
    public SimulateCommand() {}

    @Override
    public int run() throws IOException {
        return SimulatorAdapter.run(System.in, System.out, System.err);
    }
}
