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

/** The entry point: finds the sub-command that the arguments name and ends the process with its exit status. */
public final class Main {
    static final String SERVE = "serve";
    static final String SIMULATE = "simulate";
    /** The earlier name of {@link #SIMULATE}; it goes on working, and help does not show it. */
    static final String SIMULATE_ALIAS = "drill";

    static final String EMULATE = "emulate";
    static final String REPORT = "report";
    static final String SCENARIOS = "scenarios";
    static final String VERSION = "version";

    private static final String ERROR_PREFIX = "petrelplank: ";
    /** Option defaults are not printed: the usage texts name them where they mean something. */
    private static final ParserProperties WITHOUT_DEFAULTS =
            ParserProperties.defaults().withShowDefaults(false);

    @Argument(
            handler = SubCommandHandler.class,
            required = true,
            metaVar = "COMMAND",
            usage = "serve: run an edge proxy; simulate: route the requests of the simulator, by its protocol on "
                    + "standard input and output; emulate: play a scenario and write records; report: make a page of "
                    + "records; scenarios: list the bundled scenarios; version: print the version")
    @SubCommands({
        @SubCommand(name = SERVE, impl = ServeCommand.class),
        @SubCommand(name = SIMULATE, impl = SimulateCommand.class),
        @SubCommand(name = EMULATE, impl = EmulateCommand.class),
        @SubCommand(name = REPORT, impl = ReportCommand.class),
        @SubCommand(name = SCENARIOS, impl = ScenariosCommand.class),
        @SubCommand(name = VERSION, impl = VersionCommand.class)
    })
    private BaseCommand command;

    @Option(name = "--help", help = true, usage = "print this help; COMMAND --help prints that of a command")
    private boolean help;

    private Main() {}

    /**
     * Runs a sub-command.
     *
     * @param args its name and options
     * @throws IOException when standard output breaks
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
     * Runs a sub-command whose libraries are on the class path, once logging is initialized; ends the process.
     *
     * @param args its name and options
     * @throws IOException when standard output breaks
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
            System.err.println(ERROR_PREFIX + "--help lists the commands, COMMAND --help the options of one");
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
     * Finds the sub-command.
     *
     * @param args its name and options
     * @return the command with its options set; null where the arguments ask for help on all commands
     * @throws CmdLineException where the arguments can't be used
     */
    static BaseCommand parse(String... args) throws CmdLineException {
        Main main = new Main();
        new CmdLineParser(main).parseArgument(withoutAlias(args));
        return main.command;
    }

    /** Replaces the alias of a command by its name; args4j would list an alias among the commands. */
    private static String[] withoutAlias(String... args) {
        String[] replaced = args.clone();
        int command = 0;
        while (command < args.length && args[command].startsWith("-")) {
            command++;
        }
        if (command < args.length && args[command].equals(SIMULATE_ALIAS)) {
            replaced[command] = SIMULATE;
        }
        return replaced;
    }

    /** Prints the commands and the exit statuses. */
    static void printHelp(PrintStream out) {
        printOptions(new Main(), out);
    }

    private static void printOptions(Object options, PrintStream out) {
        new CmdLineParser(options, WITHOUT_DEFAULTS).printUsage(out);
        out.println(ExitStatus.HELP);
    }
}
