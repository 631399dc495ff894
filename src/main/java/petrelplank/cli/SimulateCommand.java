package petrelplank.cli;

import java.io.IOException;
import petrelplank.simulator.SimulatorAdapter;

/** {@code simulate}: the router of {@code serve} behind the simulator's protocol on standard input and output. */
public final class SimulateCommand extends BaseCommand {
    /** Called by args4j, by reflection. */
    public SimulateCommand() {}

    @Override
    public int run() throws IOException {
        return SimulatorAdapter.run(System.in, System.out, System.err);
    }
}
