package petrelplank.cli;

/** {@code version}: what this is. */
public final class VersionCommand extends BaseCommand implements Command {
    /** For args4j, which makes it by reflection. */
    public VersionCommand() {}

    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("petrelplank " + (version == null ? "(not packaged)" : version));
        return 0;
    }
}
