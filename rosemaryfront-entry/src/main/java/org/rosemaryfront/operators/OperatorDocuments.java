package org.rosemaryfront.operators;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.configuration.ApplyOutcome;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.peer.MemberView;
import org.rosemaryfront.problems.ProblemDocument;

/**
 * The JSON documents that operators read; docs/INTERFACES.md gives their forms.
 */
final class OperatorDocuments {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private OperatorDocuments() {
	}

	// -- answers

	static ObjectNode applied(ApplyOutcome.Applied applied) {
		ObjectNode document = object();
		document.put("revision", applied.revision());
		ArrayNode changes = document.putArray("changes");
		applied.changes().forEach((effect) -> changes.add(key(effect.key()).put("change", word(effect.type()))));
		return document;
	}

	static ObjectNode drained(String vm) {
		return object().put("vm", vm).put("state", "leaving");
	}

	static ObjectNode explanation(String request, List<String> decisions) {
		ObjectNode document = object().put("request", request);
		ArrayNode lines = document.putArray("decisions");
		decisions.forEach(lines::add);
		return document;
	}

	static ObjectNode resource(Resource.Versioned versioned) {
		return ResourceCodec.write(versioned.resource()).put("version", versioned.version());
	}

	static ObjectNode resources(Configuration configuration, String source, Optional<Kind> kind) {
		ObjectNode document = object();
		document.put("revision", configuration.revision()).put("source", source);
		ArrayNode items = document.putArray("items");
		configuration.resources().forEach((key, versioned) -> {
			if (kind.isEmpty() || kind.get() == key.kind()) {
				items.add(resource(versioned));
			}
		});
		return document;
	}

	static ObjectNode status(Optional<Long> declared, OperatorView view, Optional<LeaseView> lease) {
		Configuration inForce = view.inForce();
		ObjectNode document = object();
		long known = declared.orElseGet(() -> highestRevision(view));
		document.put("declared", known);
		document.put("store", declared.isPresent() ? "reachable" : "unreachable");
		ArrayNode nodes = document.putArray("nodes");
		view.members().forEach((member) -> nodes.add(node(member, known)));
		ArrayNode pools = document.putArray("pools");
		List<ServerView> servers = view.servers();
		inForce.all(Resource.Pool.class).forEach((pool) -> pools.add(pool(pool, servers)));
		lease.ifPresent((held) -> document.putObject("lease")
			.put("holder", held.holder().value())
			.put("fence", held.fence())
			.put("termMillis", held.termMillis()));
		return document;
	}

	private static long highestRevision(OperatorView view) {
		return Math.max(view.inForce().revision(),
				view.members().stream().mapToLong(MemberView::revision).max().orElse(0));
	}

	private static ObjectNode node(MemberView member, long declared) {
		return object().put("vm", member.vm().value())
			.put("zone", member.zone())
			.put("role", member.role())
			.put("state", word(member.state()))
			.put("revision", member.revision())
			.put("behind", Math.max(0, declared - member.revision()));
	}

	private static ObjectNode pool(Resource.Pool pool, Collection<ServerView> servers) {
		ObjectNode document = object().put("name", pool.name());
		ArrayNode items = document.putArray("servers");
		for (ServerView server : servers) {
			if (server.pool().equals(pool.name())) {
				ObjectNode item = items.addObject()
					.put("vm", server.vm().value())
					.put("zone", server.zone())
					.put("state", server.state());
				ArrayNode models = item.putArray("models");
				server.models().forEach(models::add);
				item.put("inFlight", server.inFlight());
			}
		}
		return document.put("wanted", pool.minimum());
	}

	// -- errors

	static ObjectNode conflict(ApplyOutcome.Conflict conflict, Problem problem) {
		ObjectNode document = ProblemDocument.of(problem, "");
		document.put("revision", conflict.revision());
		ArrayNode changed = document.putArray("changed");
		conflict.changed()
			.forEach((mismatch) -> changed
				.add(key(mismatch.key()).put("expected", mismatch.expected()).put("found", mismatch.found())));
		return document;
	}

	static ObjectNode invalid(List<String> errors, Problem problem) {
		ObjectNode document = ProblemDocument.of(problem, "");
		ArrayNode items = document.putArray("errors");
		errors.forEach(items::add);
		return document;
	}

	// -- watch

	static ObjectNode bookmark(long revision) {
		return object().put("bookmark", revision);
	}

	static ObjectNode event(long revision, ResourceKey key, String change, Optional<Resource.Versioned> resource) {
		ObjectNode event = object().put("revision", revision)
			.put("kind", key.kind().label())
			.put("name", key.name())
			.put("change", change);
		resource.ifPresent((versioned) -> event.set("resource", resource(versioned)));
		return event;
	}

	// -- forms

	static String text(JsonNode document) {
		try {
			return MAPPER.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static ObjectNode key(ResourceKey key) {
		return object().put("kind", key.kind().label()).put("name", key.name());
	}

	private static ObjectNode object() {
		return JsonNodeFactory.instance.objectNode();
	}

	private static String word(Object constant) {
		return constant.toString().toLowerCase(Locale.ROOT);
	}

}
