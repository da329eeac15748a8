package org.rosemaryfront.program;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.ProgramEvents;
import org.rosemaryfront.settings.SettingsException;
import org.rosemaryfront.settings.SettingsFile;

/**
 * The frame of every server program: reads the command line and the settings, starts the
 * program, prints one JSON line with its addresses on standard output and stops it in
 * good order on SIGTERM.
 *
 * <p>
 * Exit codes: 0 after a stop in good order or a passed {@code --check}, 1 when the
 * program failed, 2 when the command line or the settings are wrong.
 */
public final class Program {

	/** Exit code of a program that failed. */
	public static final int FAILED = 1;

	/** Exit code for a wrong command line or wrong settings. */
	public static final int WRONG_USE = 2;

	private Program() {
	}

	/**
	 * Runs a program until it is stopped; does not return.
	 * @param <T> the type of the settings
	 * @param name the program's name
	 * @param args the command line
	 * @param schema the resource path of the settings' JSON schema
	 * @param type the record that takes the settings
	 * @param start starts the program
	 */
	public static <T> void run(String name, String[] args, String schema, Class<T> type, Function<T, Running> start) {
		Arguments arguments = parse(name, args);
		T settings = readSettings(arguments.settings, schema, type);
		if (arguments.check) {
			System.out.println(arguments.settings + ": valid");
			return;
		}
		serve(name, () -> start.apply(settings));
	}

	/**
	 * Runs a program that has its settings from elsewhere until it is stopped; does not
	 * return.
	 * @param name the program's name
	 * @param start starts the program
	 */
	public static void serve(String name, Supplier<Running> start) {
		StopHook hook = StopHook.install(name);
		try {
			Running running = start.get();
			hook.started(running);
			serve(name, running);
		}
		catch (RuntimeException | InterruptedException ex) {
			EventLog.error(ex, ProgramEvents.PROGRAM_FAILED, "program", name, "cause", ex);
			EventLog.close();
			hook.failed();
			System.exit(FAILED);
		}
		finally {
			// An error ends this thread, and the hook must not wait for it.
			hook.failed();
		}
	}

	private static Arguments parse(String name, String[] args) {
		Arguments arguments = new Arguments();
		CmdLineParser parser = new CmdLineParser(arguments, ParserProperties.defaults().withShowDefaults(false));
		try {
			parser.parseArgument(args);
		}
		catch (CmdLineException ex) {
			System.err.println(name + ": " + ex.getMessage());
			System.err.print("usage: " + name);
			parser.printSingleLineUsage(System.err);
			System.err.println();
			parser.printUsage(System.err);
			System.exit(WRONG_USE);
		}
		return arguments;
	}

	private static <T> T readSettings(Path file, String schema, Class<T> type) {
		try {
			return SettingsFile.read(file, schema, type);
		}
		catch (SettingsException ex) {
			System.err.println(ex.getMessage());
			System.exit(WRONG_USE);
			throw ex;
		}
	}

	private static void serve(String name, Running running) throws InterruptedException {
		// The shutdown hook runs on threads of its own and closes the program.
		running.finished().thenRunAsync(() -> System.exit(0));
		printReady(name, running.listeners());
		EventLog.info(ProgramEvents.PROGRAM_READY, "program", name, "listeners", running.listeners());
		new CountDownLatch(1).await();
	}

	private static void printReady(String name, Map<String, String> listeners) {
		try {
			System.out.println(
					JsonMapper.builder().build().writeValueAsString(Map.of("ready", name, "listeners", listeners)));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** A program that was started; closing it is its graceful shutdown. */
	public interface Running extends AutoCloseable {

		/**
		 * The addresses it listens on.
		 * @return {@code host:port} by the name of the listener
		 */
		Map<String, String> listeners();

		/**
		 * Completes when the program has stopped of itself, such as after the notice that
		 * its VM is reclaimed; it then ends with 0.
		 * @return a stage that never completes for a program that only stops when told
		 */
		default CompletionStage<Void> finished() {
			return new CompletableFuture<>();
		}

		@Override
		void close();

	}

	private static final class Arguments {

		@Option(name = "--settings", required = true, metaVar = "FILE", usage = "the program's settings, a JSON file")
		private Path settings;

		@Option(name = "--check", usage = "check the settings and end")
		private boolean check;

	}

}
