package petrelplank.cli;

import java.io.IOException;
import petrelplank.simulator.SimulatorAdapter;

/** {@code drill}: the same decisions on the simulator's wire. */
public final class SimulateCommand extends BaseCommand implements Command {
    /** For args4j, which makes it by reflection. */
    public SimulateCommand() {}

    @Override
    public int run() throws IOException {
        return SimulatorAdapter.run(System.in, System.out, System.err);
    }
}
