package org.rosemaryfront.report;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event from the log of a gateway.
 *
 * @param second the time of the event in seconds, as given by the log collector,
 * otherwise by the gateway (read as UTC)
 * @param gateway the gateway that wrote it
 * @param name the name of the event
 * @param fields the fields in the order of the line
 */
record LogEvent(double second, String gateway, String name, Map<String, String> fields) {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");

	// A log collector may prefix the line with its own time and the host name.
	private static final Pattern LINE = Pattern.compile(
			"^(?:\\s*(-?\\d+(?:\\.\\d+)?)\\s+(\\S+)\\s+)?(\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d\\.\\d{3})\\s+[A-Z]+\\s+E\\d{4} ([A-Z_]+)((?: .*)?)$");

	private static final Pattern EVENT_LIKE = Pattern.compile(".*\\d\\d:\\d\\d\\.\\d{3}\\s+[A-Z]+\\s+E\\d{4}.*");

	private static final Pattern FIELD = Pattern.compile("\\G ([A-Za-z]+)=(\"[^\"]*\"|[^\\s\"]+)");

	/**
	 * Parses a log line.
	 * @param line the line
	 * @param file the name of the log file, used as the gateway name when the line has
	 * none
	 * @return the event, empty when the line is not an event or is damaged
	 */
	static Optional<LogEvent> parse(String line, String file) {
		Matcher matcher = LINE.matcher(line);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		Optional<Map<String, String>> fields = fields(matcher.group(5));
		OptionalDouble second = second(matcher.group(1), matcher.group(3));
		if (fields.isEmpty() || second.isEmpty()) {
			return Optional.empty();
		}
		String gateway = (matcher.group(2) != null) ? matcher.group(2) : file;
		return Optional.of(new LogEvent(second.getAsDouble(), gateway, matcher.group(4), fields.get()));
	}

	/**
	 * Returns whether a line looks like an event, even if it is damaged.
	 * @param line the line
	 * @return false for the output of other programs
	 */
	static boolean looksLikeEvent(String line) {
		return EVENT_LIKE.matcher(line).matches();
	}

	private static OptionalDouble second(String collectorTime, String logTime) {
		if (collectorTime != null) {
			return OptionalDouble.of(Double.parseDouble(collectorTime));
		}
		try {
			LocalDateTime time = LocalDateTime.parse(logTime, TIME);
			return OptionalDouble.of(time.toEpochSecond(ZoneOffset.UTC) + time.getNano() / 1e9);
		}
		catch (DateTimeParseException ex) {
			// The time is invalid, so the line counts as damaged.
			return OptionalDouble.empty();
		}
	}

	private static Optional<Map<String, String>> fields(String text) {
		Map<String, String> fields = new LinkedHashMap<>();
		Matcher field = FIELD.matcher(text);
		int end = 0;
		while (field.find()) {
			String value = field.group(2);
			boolean quoted = value.startsWith("\"");
			fields.put(field.group(1), quoted ? value.substring(1, value.length() - 1) : value);
			end = field.end();
		}
		return text.substring(end).isBlank() ? Optional.of(fields) : Optional.empty();
	}

	// -- fields

	/**
	 * Returns a field as text.
	 * @param field the name of the field
	 * @return the value, an empty string when the field is absent
	 */
	String text(String field) {
		return this.fields.getOrDefault(field, "");
	}

	/**
	 * Returns a field as a number.
	 * @param field the name of the field
	 * @return the value, empty when the field is absent or not a number
	 */
	OptionalDouble number(String field) {
		try {
			return this.fields.containsKey(field) ? OptionalDouble.of(Double.parseDouble(text(field)))
					: OptionalDouble.empty();
		}
		catch (NumberFormatException ex) {
			return OptionalDouble.empty();
		}
	}

	/**
	 * Returns a field as a number, or a default.
	 * @param field the name of the field
	 * @param defaultValue the default for a field that is absent or not a number
	 * @return the value or the default
	 */
	double number(String field, double defaultValue) {
		return number(field).orElse(defaultValue);
	}

}
