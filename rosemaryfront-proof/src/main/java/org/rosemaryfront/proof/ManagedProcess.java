package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * One process of the system or a stand-in, started for a demo or a test.
 *
 * <p>
 * Its output goes to files, so that it outlives the program that started it; the ready
 * line is read from there.
 *
 * <pre>
 * try (ManagedProcess entry = ManagedProcess.start(home, folder, "entry-1", "rosemaryfront-entry", "waw-a", settings)) {
 *     entry.listener("callers");
 * }
 * </pre>
 */
public final class ManagedProcess implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration START_LIMIT = Duration.ofSeconds(60);

	private static final Duration STOP_LIMIT = Duration.ofSeconds(60);

	private static final Duration POLL = Duration.ofMillis(20);

	private final String name;

	private final String program;

	private final String zone;

	private final Process process;

	private final Path output;

	private final Path log;

	private volatile Map<String, String> listeners = Map.of();

	private ManagedProcess(String name, String program, String zone, Process process, Path output, Path log) {
		this.name = name;
		this.program = program;
		this.zone = zone;
		this.process = process;
		this.output = output;
		this.log = log;
	}

	// -- factories

	/**
	 * Starts a program without waiting for it to be ready.
	 * @param home the root of the project
	 * @param folder where settings and output go
	 * @param name the name of the process
	 * @param program the name of the launcher in {@code bin}
	 * @param zone the availability zone it stands in
	 * @param settings the program's settings
	 * @return the process
	 */
	public static ManagedProcess start(Path home, Path folder, String name, String program, String zone,
			JsonNode settings) {
		Objects.requireNonNull(settings, "settings is null");
		Path file = folder.resolve(name + ".json");
		Path output = folder.resolve(name + ".out");
		Path log = folder.resolve(name + ".err");
		try {
			Files.writeString(file, settings.toPrettyString());
			Process process = new ProcessBuilder(
					List.of(home.resolve("bin").resolve(program).toString(), "--settings", file.toString()))
				.redirectOutput(output.toFile())
				.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
				.start();
			return new ManagedProcess(name, program, zone, process, output, log);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(name + " cannot be started", ex);
		}
	}

	// -- queries

	/**
	 * Whether it runs.
	 * @return true until it ended
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * The exit code.
	 * @return the code of the ended process
	 */
	public int exitCode() {
		return this.process.exitValue();
	}

	/**
	 * The address of one of its listeners.
	 * @param listener the name of the listener
	 * @return {@code host:port}
	 */
	public String listener(String listener) {
		return Objects.requireNonNull(this.listeners.get(listener),
				() -> this.name + " has no listener " + listener + ", only " + this.listeners);
	}

	/**
	 * The lines it logged that contain a text.
	 * @param text the text
	 * @return the lines
	 */
	public List<String> logged(String text) {
		List<String> lines = new ArrayList<>();
		for (String line : read(this.log).split("\n")) {
			if (line.contains(text)) {
				lines.add(line);
			}
		}
		return lines;
	}

	/**
	 * The name of the process.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * The process identifier.
	 * @return the identifier
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * The launcher it was started by.
	 * @return the name in {@code bin}
	 */
	public String program() {
		return this.program;
	}

	/**
	 * The availability zone it stands in.
	 * @return the zone, empty for none
	 */
	public String zone() {
		return this.zone;
	}

	/**
	 * The addresses of its listeners.
	 * @return {@code host:port} by name
	 */
	public Map<String, String> listeners() {
		return this.listeners;
	}

	// -- waits

	/**
	 * Waits until it has printed its ready line.
	 * @return this process
	 */
	public ManagedProcess awaitReady() {
		long limit = System.nanoTime() + START_LIMIT.toNanos();
		while (this.listeners.isEmpty()) {
			readReadyLine();
			if (!alive()) {
				throw new IllegalStateException(this.name + " ended with " + exitCode() + ": " + tail());
			}
			if (System.nanoTime() > limit) {
				throw new IllegalStateException(this.name + " was not ready in time: " + tail());
			}
			Pause.of(POLL);
		}
		return this;
	}

	/**
	 * Waits until it has ended.
	 * @param limit how long to wait
	 * @return whether it has ended
	 */
	public boolean awaitEnd(Duration limit) {
		try {
			return this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	// -- faults

	/** Lets it go on after {@link #freeze}. */
	public void thaw() {
		signal("CONT");
	}

	/** Halts it without its knowing, as a paused VM. */
	public void freeze() {
		signal("STOP");
	}

	/** Ends it at once, as a vanished VM. */
	public void kill() {
		this.process.destroyForcibly();
		awaitEnd(STOP_LIMIT);
	}

	/** Asks it to stop gracefully and returns at once. */
	public void terminate() {
		this.process.destroy();
	}

	@Override
	public void close() {
		if (alive()) {
			thaw();
			this.process.destroyForcibly();
			awaitEnd(STOP_LIMIT);
		}
	}

	private void readReadyLine() {
		for (String line : read(this.output).split("\n")) {
			if (line.startsWith("{\"")) {
				this.listeners = parseListeners(line);
			}
		}
	}

	private Map<String, String> parseListeners(String line) {
		try {
			JsonNode ready = MAPPER.readTree(line);
			Map<String, String> found = new TreeMap<>();
			ready.path("listeners")
				.properties()
				.forEach((entry) -> found.put(entry.getKey(), entry.getValue().asText()));
			return Map.copyOf(found);
		}
		catch (com.fasterxml.jackson.core.JsonProcessingException ex) {
			return Map.of();
		}
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String tail() {
		String text = read(this.log);
		return text.substring(Math.max(0, text.length() - 2000));
	}

	private static String read(Path file) {
		try {
			return Files.exists(file) ? Files.readString(file) : "";
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
