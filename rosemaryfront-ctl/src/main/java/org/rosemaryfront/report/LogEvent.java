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
 * One event of a gateway's log.
 *
 * @param second when it was written, in seconds
 * @param gateway who wrote it
 * @param name the name of the event
 * @param fields its fields in order
 */
record LogEvent(double second, String gateway, String name, Map<String, String> fields) {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");

	// A collector may put its own time and the name of the machine in front.
	private static final Pattern LINE = Pattern.compile(
			"^(?:\\s*(-?\\d+(?:\\.\\d+)?)\\s+(\\S+)\\s+)?(\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d\\.\\d{3})\\s+[A-Z]+\\s+E\\d{4} ([A-Z_]+)((?: .*)?)$");

	private static final Pattern OURS = Pattern.compile(".*\\d\\d:\\d\\d\\.\\d{3}\\s+[A-Z]+\\s+E\\d{4}.*");

	private static final Pattern FIELD = Pattern.compile("\\G ([A-Za-z]+)=(\"[^\"]*\"|[^\\s\"]+)");

	/**
	 * Reads a line.
	 * @param line the line
	 * @param file the name of its file, which stands for the gateway when the line names
	 * none
	 * @return the event, empty when the line is none or is damaged
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
	 * Whether a line was meant as an event, readable or not.
	 * @param line the line
	 * @return false for what other programs print
	 */
	static boolean isOurs(String line) {
		return OURS.matcher(line).matches();
	}

	private static OptionalDouble second(String collected, String written) {
		if (collected != null) {
			return OptionalDouble.of(Double.parseDouble(collected));
		}
		try {
			LocalDateTime time = LocalDateTime.parse(written, TIME);
			return OptionalDouble.of(time.toEpochSecond(ZoneOffset.UTC) + time.getNano() / 1e9);
		}
		catch (DateTimeParseException ex) {
			// No such time: the line is damaged, and counted as such.
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
	 * A field as text.
	 * @param field its name
	 * @return its value, empty when it is absent
	 */
	String text(String field) {
		return this.fields.getOrDefault(field, "");
	}

	/**
	 * A field as a number.
	 * @param field its name
	 * @return its value, empty when it is absent or no number
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
	 * A field as a number, with what its absence stands for.
	 * @param field its name
	 * @param otherwise the value when it is absent or no number
	 * @return its value
	 */
	double number(String field, double otherwise) {
		return number(field).orElse(otherwise);
	}

}
