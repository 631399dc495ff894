package petrelplank.cli;

import java.io.IOException;
import java.util.stream.Stream;
import petrelplank.emulator.BundledScenarios;
import petrelplank.emulator.Scenario;

/** {@code scenarios}: lists the bundled ones. */
public final class ScenariosCommand extends BaseCommand {
    /** For args4j, which makes it by reflection. */
    public ScenariosCommand() {}

    @Override
    public int run() throws IOException {
        for (String name : Stream.concat(BundledScenarios.incidents().stream(), BundledScenarios.fleet().stream())
                .toList()) {
            System.out.printf("%-15s %s%n", name, Scenario.of(name).title());
        }
        return ExitStatus.SUCCESS;
    }
}
