package org.rosemaryfront.ctl;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The operators' command line.
 *
 * <pre>
 * rosemaryctl apply --server http://10.0.0.1:9100 --key-file key examples/federation
 * </pre>
 */
public final class Rosemaryctl {

	private static final String HELP = """
			usage: rosemaryctl COMMAND [options]

			  apply PATH...       declare what files and folders say, all or nothing
			  diff PATH...        compare files with what is declared
			  drain VM            take a backend server out of service
			  explain REQUEST     show the decisions on a request
			  get [KIND [NAME]]   show resources
			  report LOGS         make a page of gateways' logs: refused, late and lost calls
			  status              show declared against in force, and the backend servers
			  validate PATH...    check files without a server
			  wait                wait until a revision is in force, or a pool has its servers
			  watch               print changes as they come

			rosemaryctl COMMAND --help shows the options of a command.

			exit codes: 0 done, 1 failed (diff: differences), 2 wrong use, 3 conflict,
			4 time-out, 5 unreachable
			""";

	@Argument(required = true, handler = SubCommandHandler.class, metaVar = "COMMAND")
	@SubCommands({ @SubCommand(name = "apply", impl = ApplyCommand.class),
			@SubCommand(name = "diff", impl = DiffCommand.class),
			@SubCommand(name = "drain", impl = DrainCommand.class),
			@SubCommand(name = "explain", impl = ExplainCommand.class),
			@SubCommand(name = "get", impl = GetCommand.class),
			@SubCommand(name = "report", impl = ReportCommand.class),
			@SubCommand(name = "status", impl = StatusCommand.class),
			@SubCommand(name = "validate", impl = ValidateCommand.class),
			@SubCommand(name = "wait", impl = WaitCommand.class),
			@SubCommand(name = "watch", impl = WatchCommand.class) })
	private Command command;

	private Rosemaryctl() {
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(run(List.of(args), new Console(System.out, System.err, System.getenv())).code());
	}

	/**
	 * Runs a command.
	 * @param args the command line
	 * @param console where it reads and writes
	 * @return how it ended
	 */
	public static ExitCode run(List<String> args, Console console) {
		Objects.requireNonNull(args, "args is null");
		Objects.requireNonNull(console, "console is null");
		if (args.isEmpty() || List.of("help", "--help", "-h").contains(args.getFirst())) {
			(args.isEmpty() ? console.err() : console.out()).print(HELP);
			return args.isEmpty() ? ExitCode.WRONG_USE : ExitCode.DONE;
		}
		if (args.contains("--help") || args.contains("-h")) {
			return help(args.getFirst(), console);
		}
		try {
			Rosemaryctl parsed = new Rosemaryctl();
			parser(parsed).parseArgument(args);
			return parsed.command.run(console);
		}
		catch (CmdLineException ex) {
			console.err().println("rosemaryctl: " + ex.getMessage());
			console.err().println("rosemaryctl --help shows the commands, rosemaryctl COMMAND --help their options");
			return ExitCode.WRONG_USE;
		}
		catch (CtlException ex) {
			console.err().println("rosemaryctl: " + ex.getMessage());
			return ex.exitCode();
		}
	}

	private static ExitCode help(String name, Console console) {
		try {
			SubCommand found = Arrays
				.stream(Rosemaryctl.class.getDeclaredField("command").getAnnotation(SubCommands.class).value())
				.filter((candidate) -> candidate.name().equals(name))
				.findFirst()
				.orElseThrow(() -> CtlException.of(ExitCode.WRONG_USE, "there is no command '" + name + "'"));
			printOptions(name, found.impl().getDeclaredConstructor().newInstance(), console.out());
			return ExitCode.DONE;
		}
		catch (CtlException ex) {
			console.err().println("rosemaryctl: " + ex.getMessage());
			return ex.exitCode();
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void printOptions(String name, Object command, PrintStream out) {
		CmdLineParser parser = parser(command);
		out.print("usage: rosemaryctl " + name);
		parser.printSingleLineUsage(out);
		out.println();
		parser.printUsage(out);
		out.println();
		out.print(HELP.substring(HELP.indexOf("exit codes")));
	}

	private static CmdLineParser parser(Object bean) {
		return new CmdLineParser(bean, ParserProperties.defaults().withShowDefaults(false).withUsageWidth(100));
	}

}
