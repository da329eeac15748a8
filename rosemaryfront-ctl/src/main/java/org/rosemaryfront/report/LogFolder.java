package org.rosemaryfront.report;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.Channels;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The events of a folder of logs, in chronological order.
 *
 * @param events the events
 * @param damaged the number of lines that look like events but cannot be parsed
 * @param foreign the number of lines from other programs
 */
record LogFolder(List<LogEvent> events, long damaged, long foreign) {

	/**
	 * Reads all files of a folder. A line that cannot be parsed is counted and skipped,
	 * since the last line of a killed process is often truncated.
	 * @param folder the folder, or one file
	 * @return the events and the counts of skipped lines
	 * @throws ReportException when the folder cannot be read or contains no event
	 */
	static LogFolder read(Path folder) {
		Accumulator counts = new Accumulator();
		List<Path> files = files(folder);
		files.forEach((file) -> read(file, counts));
		if (counts.events.isEmpty()) {
			throw ReportException.of(folder + " holds no event of a gateway: " + files.size() + " files, "
					+ counts.damaged + " damaged and " + counts.foreign + " foreign lines");
		}
		counts.events.sort(Comparator.comparingDouble(LogEvent::second));
		return new LogFolder(List.copyOf(counts.events), counts.damaged, counts.foreign);
	}

	private static List<Path> files(Path folder) {
		if (!Files.exists(folder)) {
			throw ReportException.of(folder + " does not exist");
		}
		try (Stream<Path> found = Files.walk(folder)) {
			return found.filter(Files::isRegularFile).sorted().toList();
		}
		catch (IOException | UncheckedIOException ex) {
			throw ReportException.of(folder + " cannot be read: " + ex.getMessage());
		}
	}

	private static void read(Path file, Accumulator counts) {
		String name = file.getFileName().toString();
		try (BufferedReader lines = new BufferedReader(Channels.newReader(Files.newByteChannel(file),
				StandardCharsets.UTF_8.newDecoder()
					.onMalformedInput(CodingErrorAction.REPLACE)
					.onUnmappableCharacter(CodingErrorAction.REPLACE),
				-1))) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				counts.add(line, name);
			}
		}
		catch (IOException ex) {
			throw ReportException.of(file + " cannot be read: " + ex.getMessage());
		}
	}

	private static final class Accumulator {

		private final List<LogEvent> events = new ArrayList<>();

		private long damaged;

		private long foreign;

		private void add(String line, String file) {
			Optional<LogEvent> event = LogEvent.parse(line, file);
			if (event.isPresent()) {
				this.events.add(event.get());
			}
			else if (LogEvent.looksLikeEvent(line)) {
				this.damaged++;
			}
			else if (!line.isBlank()) {
				this.foreign++;
			}
		}

	}

}
