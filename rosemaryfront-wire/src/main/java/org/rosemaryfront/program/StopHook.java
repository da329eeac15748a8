package org.rosemaryfront.program;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.ProgramEvents;
import org.rosemaryfront.program.Program.Running;

/**
 * Closes a program when the virtual machine shuts down, as on SIGTERM, and ends the
 * process with 0. A stop that is requested during the start takes effect after it, since
 * callers may be connected by then.
 */
final class StopHook {

	private final String name;

	/** The outcome of the start: the running program, empty if the start failed. */
	private final CompletableFuture<Optional<Running>> start = new CompletableFuture<>();

	private StopHook(String name) {
		this.name = name;
	}

	/**
	 * Installs a hook for a program that has not been started yet.
	 * @param name the program's name
	 * @return the hook
	 */
	static StopHook install(String name) {
		StopHook hook = new StopHook(name);
		Runtime.getRuntime().addShutdownHook(new Thread(hook::run, "stop"));
		return hook;
	}

	/**
	 * Reports that the program runs.
	 * @param program the program
	 */
	void started(Running program) {
		this.start.complete(Optional.of(program));
	}

	/**
	 * Reports that the program does not run; without effect after {@link #started}.
	 */
	void failed() {
		this.start.complete(Optional.empty());
	}

	private void run() {
		boolean stopped = !this.start.isDone() || this.start.join().isPresent();
		if (stopped) {
			stop();
		}
		// Without the halt the virtual machine ends with 143 after SIGTERM, and who
		// stopped the program cannot tell a stop in good order from a kill.
		Runtime.getRuntime().halt(stopped ? 0 : Program.FAILED);
	}

	private void stop() {
		EventLog.info(ProgramEvents.PROGRAM_STOPPING, "program", this.name);
		this.start.join().ifPresent(Running::close);
		EventLog.info(ProgramEvents.PROGRAM_STOPPED, "program", this.name);
		EventLog.close();
	}

}
