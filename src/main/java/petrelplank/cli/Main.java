package petrelplank.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The entry point: runs the sub-command given by the arguments and exits with its status. */
public final class Main {
    static final String SERVE = "serve";
    static final String SIMULATE = "simulate";
    /** Former name of {@link #SIMULATE}; still accepted, but not shown in the help. */
    static final String SIMULATE_ALIAS = "drill";

    static final String EMULATE = "emulate";
    static final String REPORT = "report";
    static final String SCENARIOS = "scenarios";
    static final String VERSION = "version";

    private static final String ERROR_PREFIX = "petrelplank: ";
    /** Leaves option defaults out of the help; usage texts state those that matter to the user. */
    private static final ParserProperties HELP_PROPERTIES =
            ParserProperties.defaults().withShowDefaults(false);

    @Argument(
            handler = SubCommandHandler.class,
            required = true,
            metaVar = "COMMAND",
            usage = "serve: run an edge proxy; simulate: route the requests of the simulator, using its protocol on "
                    + "standard input and output; emulate: run a scenario and write records; report: analyze records "
                    + "and write a report; scenarios: list the bundled scenarios; version: print the version")
    @SubCommands({
        @SubCommand(name = SERVE, impl = ServeCommand.class),
        @SubCommand(name = SIMULATE, impl = SimulateCommand.class),
        @SubCommand(name = EMULATE, impl = EmulateCommand.class),
        @SubCommand(name = REPORT, impl = ReportCommand.class),
        @SubCommand(name = SCENARIOS, impl = ScenariosCommand.class),
        @SubCommand(name = VERSION, impl = VersionCommand.class)
    })
    private BaseCommand command;

    @Option(name = "--help", help = true, usage = "print this help; use COMMAND --help for the help of one command")
    private boolean help;

    private Main() {}

    /**
     * Runs a sub-command, in a class loader with more libraries if it needs them.
     *
     * @param args the name and the options of the sub-command
     * @throws IOException if reading input or writing output fails
     */
    public static void main(String[] args) throws IOException {
        Logs.initialize();
        if (ToolClassLoader.isNeeded(args)) {
            ToolClassLoader.run(args);
        } else {
            start(args);
        }
    }

    /**
     * Runs a sub-command and exits with its status. Its libraries must be on the class path, and logging must be
     * initialized.
     *
     * @param args the name and the options of the sub-command
     * @throws IOException if reading input or writing output fails
     */
    public static void start(String... args) throws IOException {
        System.exit(run(args));
    }

    private static int run(String... args) throws IOException {
        BaseCommand command;
        try {
            command = parse(args);
        } catch (CmdLineException e) {
            System.err.println(ERROR_PREFIX + e.getMessage());
            System.err.println(ERROR_PREFIX
                    + "use --help for the list of commands, COMMAND --help for the options of one command");
            return ExitStatus.UNUSABLE_INPUT;
        }
        if (command == null) {
            printHelp(System.out);
            return ExitStatus.SUCCESS;
        }
        Logs.setFormat(command.logFormat());
        if (command.helpRequested()) {
            printOptions(command, System.out);
            return ExitStatus.SUCCESS;
        }
        return command.run();
    }

    /**
     * Parses the arguments.
     *
     * @param args the name and the options of the sub-command
     * @return the command with its options set, or null if the arguments ask for the help on all commands
     * @throws CmdLineException if the arguments are invalid
     */
    static BaseCommand parse(String... args) throws CmdLineException {
        Main main = new Main();
        new CmdLineParser(main).parseArgument(resolveAlias(args));
        return main.command;
    }

    /** Replaces a command alias by its name. An alias known to args4j would be listed among the commands. */
    private static String[] resolveAlias(String... args) {
        String[] resolved = args.clone();
        int commandIndex = 0;
        while (commandIndex < args.length && args[commandIndex].startsWith("-")) {
            commandIndex++;
        }
        if (commandIndex < args.length && args[commandIndex].equals(SIMULATE_ALIAS)) {
            resolved[commandIndex] = SIMULATE;
        }
        return resolved;
    }

    /** Prints the commands and the exit statuses. */
    static void printHelp(PrintStream out) {
        printOptions(new Main(), out);
    }

    private static void printOptions(Object options, PrintStream out) {
        new CmdLineParser(options, HELP_PROPERTIES).printUsage(out);
        out.println(ExitStatus.HELP);
    }
}
