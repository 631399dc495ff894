package petrelplank.cli;

import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. */
public final class Main {
    @Argument(
            handler = SubCommandHandler.class,
            required = true,
            metaVar = "COMMAND",
            usage = "serve: one real front; drill: the decisions on the simulator's wire; emulate: play a scenario and "
                    + "leave records; report: a page of records; scenarios: those bundled; version: what this is")
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "drill", impl = SimulateCommand.class),
        @SubCommand(name = "emulate", impl = EmulateCommand.class),
        @SubCommand(name = "report", impl = ReportCommand.class),
        @SubCommand(name = "scenarios", impl = ScenariosCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)
    })
    private Command command;

    @Option(name = "--help", help = true, usage = "this; COMMAND --help tells of a command")
    private boolean help;

    /** Defaults stand in the texts, where they mean something. */
    private static final ParserProperties PLAIN = ParserProperties.defaults().withShowDefaults(false);

    private static final String STATUSES = "exit status: 0 done; 1 a fault of the program; 2 the arguments or a file "
            + "can't be used; 3 some records could not be read, and the report was made of the rest";

    private Main() {}

    /**
     * Runs a sub-command.
     *
     * @param args its name and options
     * @throws IOException when standard output breaks
     */
    public static void main(String[] args) throws IOException {
        Logs.set();
        if (ToolClassLoader.missing(args)) {
            ToolClassLoader.run(args);
        } else {
            start(args);
        }
    }

    /**
     * Runs a sub-command where its libraries are; logging is set up.
     *
     * @param args its name and options
     * @throws IOException when standard output breaks
     */
    public static void start(String... args) throws IOException {
        Command command;
        try {
            command = command(args);
        } catch (CmdLineException e) {
            System.err.println("petrelplank: " + e.getMessage());
            System.err.println("petrelplank: --help tells the commands, COMMAND --help the options of one");
            System.exit(2);
            return;
        }
        if (command == null) {
            new CmdLineParser(new Main(), PLAIN).printUsage(System.out);
            System.out.println(STATUSES);
            System.exit(0);
        }
        if (command instanceof BaseCommand helpful) {
            Logs.format(helpful.logFormat().name());
            if (helpful.help()) {
                usage(helpful);
                System.exit(0);
            }
        }
        System.exit(command.run());
    }

    private static void usage(BaseCommand command) {
        new CmdLineParser(command, PLAIN).printUsage(System.out);
        System.out.println(STATUSES);
    }

    static Command command(String... args) throws CmdLineException {
        Main main = new Main();
        new CmdLineParser(main).parseArgument(args);
        return main.command;
    }
}
