package petrelplank.cli;

/** {@code version}: prints the version of the program. */
public final class VersionCommand extends BaseCommand {
    /** Called by args4j, by reflection. */
    public VersionCommand() {}

    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("petrelplank " + (version == null ? "(not packaged)" : version));
        return ExitStatus.SUCCESS;
    }
}
