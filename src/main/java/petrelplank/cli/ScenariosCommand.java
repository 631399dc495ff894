package petrelplank.cli;

import java.io.IOException;
import petrelplank.emulator.BundledScenarios;
import petrelplank.emulator.Scenario;

/** {@code scenarios}: lists the bundled scenarios. */
public final class ScenariosCommand extends BaseCommand {
    /** Called by args4j through reflection. */
    public ScenariosCommand() {}

    @Override
    public int run() throws IOException {
        for (String name : BundledScenarios.all()) {
            System.out.printf("%-15s %s%n", name, Scenario.of(name).title());
        }
        return ExitStatus.SUCCESS;
    }
}
