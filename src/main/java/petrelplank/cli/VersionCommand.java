package petrelplank.cli;

/** {@code version}: prints the version of the program. */
public final class VersionCommand extends BaseCommand {
    /** Called by args4j through reflection. */
    public VersionCommand() {}

    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("petrelplank " + (version == null ? "(development build)" : version));
        return ExitStatus.SUCCESS;
    }
}
