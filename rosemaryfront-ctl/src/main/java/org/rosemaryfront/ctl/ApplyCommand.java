package org.rosemaryfront.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;

/**
 * Declares what files say, all or nothing.
 */
public final class ApplyCommand extends ServerCommand {

	@Argument(metaVar = "PATH", required = true, usage = "files and folders of declarations")
	private List<Path> paths = new ArrayList<>();

	@Option(name = "--dry-run", usage = "only tell what would change")
	private boolean dryRun;

	@Option(name = "--delete-missing", usage = "delete declared resources that no file holds")
	private boolean deleteMissing;

	@Option(name = "--transaction", metaVar = "ID",
			usage = "repeat an earlier apply whose outcome is unknown; nothing is applied twice")
	private String transaction = UUID.randomUUID().toString();

	@Override
	ExitCode run(Console console, OperatorApi api) {
		List<Resource> resources = DeclarationFiles.read(this.paths);
		ObjectNode change = JsonNodeFactory.instance.objectNode().put("transaction", this.transaction);
		ArrayNode declarations = change.putArray("resources");
		resources.forEach((resource) -> declarations.add(ResourceCodec.write(resource)));
		if (this.deleteMissing) {
			change.putArray("delete").addAll(missing(api, resources));
		}
		JsonNode outcome = send(api, change).document();
		for (JsonNode item : outcome.path("changes")) {
			console.out()
				.println(item.path("kind").asText() + "/" + item.path("name").asText() + " "
						+ item.path("change").asText() + (this.dryRun ? " (dry run)" : ""));
		}
		console.out().println("revision " + outcome.path("revision").asLong() + (this.dryRun ? " (dry run)" : ""));
		return ExitCode.DONE;
	}

	private Answer send(OperatorApi api, ObjectNode change) {
		try {
			Answer answer = api.post("/apis/v1/apply" + (this.dryRun ? "?dryRun=true" : ""), change.toString());
			if (answer.body().path("verdict").asText().equals("may-have-run")) {
				throw CtlException.of(ExitCode.FAILED, answer.message() + unknown());
			}
			return answer;
		}
		catch (CtlException ex) {
			if (ex.exitCode() != ExitCode.UNREACHABLE) {
				throw ex;
			}
			throw CtlException.of(ExitCode.UNREACHABLE, ex.getMessage() + unknown(), ex);
		}
	}

	private String unknown() {
		return this.dryRun ? ""
				: "\nif a server took the change before it fell silent, it may be declared; to find out, repeat with"
						+ " --transaction " + this.transaction;
	}

	private static List<ObjectNode> missing(OperatorApi api, List<Resource> resources) {
		Set<String> kept = new HashSet<>();
		resources.forEach((resource) -> kept.add(resource.key().toString()));
		List<ObjectNode> missing = new ArrayList<>();
		for (JsonNode item : DeclaredResources.read(api).path("items")) {
			if (!kept.contains(item.path("kind").asText() + "/" + item.path("name").asText())) {
				missing.add(JsonNodeFactory.instance.objectNode()
					.put("kind", item.path("kind").asText())
					.put("name", item.path("name").asText())
					.put("version", item.path("version").asLong()));
			}
		}
		return missing;
	}

}
