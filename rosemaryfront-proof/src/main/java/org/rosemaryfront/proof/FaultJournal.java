package org.rosemaryfront.proof;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.json.JsonMapper;

/** The faults of a run with their times, one JSON line each, written as they happen. */
final class FaultJournal implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final Map<String, Integer> counts = new TreeMap<>();

	private final BufferedWriter writer;

	private FaultJournal(BufferedWriter writer) {
		this.writer = writer;
	}

	static FaultJournal open(Path file) {
		try {
			return new FaultJournal(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized Map<String, Integer> counts() {
		return new TreeMap<>(this.counts);
	}

	// A fault begins.
	synchronized void begun(String kind, String target, String detail) {
		this.counts.merge(kind, 1, Integer::sum);
		write(kind, "begun", target, detail);
	}

	// A fault is over, or what it caused is seen.
	synchronized void note(String kind, String phase, String target, String detail) {
		write(kind, phase, target, detail);
	}

	private void write(String kind, String phase, String target, String detail) {
		try {
			this.writer.write(MAPPER.createObjectNode()
				.put("at", Instant.now().toString())
				.put("kind", kind)
				.put("phase", phase)
				.put("target", target)
				.put("detail", detail)
				.toString());
			this.writer.newLine();
			this.writer.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public synchronized void close() {
		try {
			this.writer.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
