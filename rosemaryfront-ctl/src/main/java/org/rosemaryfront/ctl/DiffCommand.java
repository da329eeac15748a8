package org.rosemaryfront.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;

/**
 * Compares files with what is declared; ends with 1 when they differ.
 */
public final class DiffCommand extends ServerCommand {

	@Argument(metaVar = "PATH", required = true, usage = "files and folders of declarations")
	private List<Path> paths = new ArrayList<>();

	@Option(name = "--delete-missing", usage = "show declared resources that no file holds, too")
	private boolean deleteMissing;

	@Override
	ExitCode run(Console console, OperatorApi api) {
		Map<String, JsonNode> declared = new TreeMap<>();
		for (JsonNode item : DeclaredResources.read(api).path("items")) {
			declared.put(item.path("kind").asText() + "/" + item.path("name").asText(), item.path("spec"));
		}
		boolean same = true;
		for (Resource resource : DeclarationFiles.read(this.paths)) {
			JsonNode before = declared.remove(resource.key().toString());
			same &= print(console, resource.key().toString(), before, ResourceCodec.write(resource).path("spec"));
		}
		if (this.deleteMissing) {
			declared.keySet().forEach((key) -> console.out().println("- " + key));
			same &= declared.isEmpty();
		}
		return same ? ExitCode.DONE : ExitCode.FAILED;
	}

	private static boolean print(Console console, String key, JsonNode before, JsonNode after) {
		if (before == null) {
			console.out().println("+ " + key);
			return false;
		}
		if (before.equals(after)) {
			return true;
		}
		console.out().println("~ " + key);
		TreeSet<String> fields = new TreeSet<>();
		before.fieldNames().forEachRemaining(fields::add);
		after.fieldNames().forEachRemaining(fields::add);
		for (String field : fields) {
			if (!before.path(field).equals(after.path(field))) {
				console.out()
					.println("    spec." + field + ": " + text(before.path(field)) + " -> " + text(after.path(field)));
			}
		}
		return false;
	}

	private static String text(JsonNode value) {
		return (value instanceof MissingNode) ? "absent" : value.toString();
	}

}
