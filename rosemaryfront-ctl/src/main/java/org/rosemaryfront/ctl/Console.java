package org.rosemaryfront.ctl;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Where a command reads its environment and writes its output.
 *
 * @param out takes results
 * @param err takes errors and progress
 * @param environment the environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final String GAP = "  ";

	public Console {
		Objects.requireNonNull(out, "out is null");
		Objects.requireNonNull(err, "err is null");
		environment = Map.copyOf(environment);
	}

	void json(JsonNode document) {
		try {
			this.out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Prints rows with their columns aligned.
	 * @param header the titles of the columns
	 * @param rows the rows, each with as many cells as there are titles
	 */
	void table(List<String> header, List<List<String>> rows) {
		List<List<String>> all = new ArrayList<>();
		all.add(header);
		all.addAll(rows);
		int[] widths = new int[header.size()];
		all.forEach((row) -> {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], row.get(i).length());
			}
		});
		all.forEach((row) -> this.out.println(line(row, widths)));
	}

	private static String line(List<String> row, int[] widths) {
		StringBuilder line = new StringBuilder();
		for (int i = 0; i < widths.length; i++) {
			line.append(row.get(i)).repeat(' ', widths[i] - row.get(i).length()).append(GAP);
		}
		return line.toString().stripTrailing();
	}

}
