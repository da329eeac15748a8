package org.rosemaryfront.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/**
 * Shows what is declared, what is in force on each node, and the backend servers.
 */
public final class StatusCommand extends ServerCommand {

	@Option(name = "-o", aliases = "--output", metaVar = "FORMAT", usage = "table or json (default: table)")
	private OutputFormat output = OutputFormat.TABLE;

	@Override
	ExitCode run(Console console, OperatorApi api) {
		JsonNode status = api.get("/apis/v1/status").document();
		if (this.output == OutputFormat.JSON) {
			console.json(status);
			return ExitCode.DONE;
		}
		console.out()
			.println("declared revision " + status.path("declared").asLong() + ", store "
					+ status.path("store").asText("reachable") + ", lease " + lease(status.path("lease")));
		console.out().println();
		console.table(List.of("VM", "ZONE", "ROLE", "STATE", "REVISION", "BEHIND"),
				rows(status.path("nodes"), "vm", "zone", "role", "state", "revision", "behind"));
		for (JsonNode pool : status.path("pools")) {
			console.out().println();
			console.out()
				.println("pool " + pool.path("name").asText() + ": " + pool.path("servers").size() + " of "
						+ pool.path("wanted").asInt() + " backend servers");
			console.table(List.of("VM", "ZONE", "STATE", "MODELS", "IN FLIGHT"),
					rows(pool.path("servers"), "vm", "zone", "state", "models", "inFlight"));
		}
		return ExitCode.DONE;
	}

	private static String lease(JsonNode lease) {
		return lease.path("holder").isTextual()
				? "held by " + lease.path("holder").asText() + " with fencing number " + lease.path("fence").asLong()
				: "held by none";
	}

	private static List<List<String>> rows(JsonNode items, String... fields) {
		List<List<String>> rows = new ArrayList<>();
		for (JsonNode item : items) {
			List<String> row = new ArrayList<>();
			for (String field : fields) {
				JsonNode value = item.path(field);
				row.add(value.isArray() ? value.toString().replaceAll("[\"\\[\\]]", "") : value.asText());
			}
			rows.add(row);
		}
		return rows;
	}

}
