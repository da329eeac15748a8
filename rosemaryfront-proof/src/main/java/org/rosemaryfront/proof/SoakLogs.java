package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the logs of all processes of a run tell, those of ended ones included. */
final class SoakLogs {

	private static final Pattern BROKEN = Pattern.compile(" (E9\\d{3} \\S+)");

	private static final Pattern ERROR = Pattern.compile(" ERROR \\S+ (E\\d{4} \\S+|.{1,90})");

	private final Map<String, List<String>> lines = new TreeMap<>();

	private SoakLogs() {
	}

	static SoakLogs read(Path folder) {
		SoakLogs logs = new SoakLogs();
		try (Stream<Path> files = Files.list(folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".err")).toList()) {
				String name = file.getFileName().toString().replace(".err", "");
				logs.lines.put(name, new String(Files.readAllBytes(file), StandardCharsets.UTF_8).lines().toList());
			}
			return logs;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Events of broken invariants, with their number.
	Map<String, Integer> brokenInvariants() {
		return count(BROKEN);
	}

	// Events that a person must look at, with their number.
	Map<String, Integer> errors() {
		return count(ERROR);
	}

	// The entry that took a request last, by acceptance or hand-off.
	Optional<String> holder(String request) {
		String latest = "";
		Optional<String> holder = Optional.empty();
		for (Map.Entry<String, List<String>> log : this.lines.entrySet()) {
			for (String line : log.getValue()) {
				boolean taken = line.contains(" REQUEST_ACCEPTED ") || line.contains(" REQUEST_ADOPTED ");
				if (taken && line.contains("request=" + request + " ") && line.compareTo(latest) > 0) {
					latest = line;
					holder = Optional.of(log.getKey());
				}
			}
		}
		return holder;
	}

	private Map<String, Integer> count(Pattern pattern) {
		Map<String, Integer> counts = new TreeMap<>();
		for (List<String> log : this.lines.values()) {
			for (String line : log) {
				Matcher matcher = pattern.matcher(line);
				if (matcher.find()) {
					counts.merge(matcher.group(1), 1, Integer::sum);
				}
			}
		}
		return counts;
	}

}
