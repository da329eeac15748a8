package org.rosemaryfront.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Shows resources.
 */
public final class GetCommand extends ServerCommand {

	@Argument(index = 0, metaVar = "KIND", usage = "Pool, Model, Adapter, Organisation or LatencyTarget (default: all)")
	private String kind = "";

	@Argument(index = 1, metaVar = "NAME", usage = "one resource of the kind")
	private String name = "";

	@Option(name = "-o", aliases = "--output", metaVar = "FORMAT", usage = "table or json (default: table)")
	private OutputFormat output = OutputFormat.TABLE;

	@Override
	ExitCode run(Console console, OperatorApi api) {
		if (!this.name.isEmpty()) {
			JsonNode item = api.get("/apis/v1/resources/" + this.kind + "/" + this.name).document();
			print(console, item, List.of(item));
			return ExitCode.DONE;
		}
		JsonNode document = api.get("/apis/v1/resources" + (this.kind.isEmpty() ? "" : "?kind=" + this.kind))
			.document();
		List<JsonNode> items = new ArrayList<>();
		document.path("items").forEach(items::add);
		print(console, document, items);
		if (!document.path("source").asText("declared").equals("declared")) {
			console.err().println("the configuration store cannot be reached: this is what is in force in one entry");
		}
		return ExitCode.DONE;
	}

	private void print(Console console, JsonNode document, List<JsonNode> items) {
		if (this.output == OutputFormat.JSON) {
			console.json(document);
			return;
		}
		console.table(List.of("KIND", "NAME", "VERSION", "SPEC"),
				items.stream()
					.map((item) -> List.of(item.path("kind").asText(), item.path("name").asText(),
							item.path("version").asText(), summary(item.path("spec"))))
					.toList());
	}

	private static String summary(JsonNode spec) {
		List<String> fields = new ArrayList<>();
		spec.properties().forEach((field) -> {
			if (!field.getKey().equals("keyHashes")) {
				fields.add(field.getKey() + "=" + field.getValue().toString().replace("\"", ""));
			}
		});
		return String.join(" ", fields);
	}

}
