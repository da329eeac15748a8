package org.rosemaryfront.operators;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.configuration.Change;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;

/**
 * Reads the body of an apply request.
 */
final class ChangeReader {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private static final Set<String> FIELDS = Set.of("transaction", "resources", "delete");

	private static final Set<String> DELETION_FIELDS = Set.of("kind", "name", "version");

	private static final Pattern TRANSACTION = Pattern.compile("[A-Za-z0-9._-]{1,100}");

	private final List<String> errors = new ArrayList<>();

	private ChangeReader() {
	}

	/**
	 * Reads a change.
	 * @param body the body
	 * @return the change
	 * @throws RosemaryException with {@link ProblemCode#BAD_REQUEST} when the body is not
	 * an apply request, and with {@link ProblemCode#INVALID_DECLARATION} when one of its
	 * declarations cannot be read
	 */
	static Change read(byte[] body) {
		return new ChangeReader().change(parse(body));
	}

	private static JsonNode parse(byte[] body) {
		try {
			JsonNode document = MAPPER.readTree(body);
			if (document == null || !document.isObject()) {
				throw bad("the body is a JSON object with transaction, resources and delete");
			}
			return document;
		}
		catch (JsonProcessingException ex) {
			throw bad("the body is no valid JSON: line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr() + ": " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw bad("the body cannot be read: " + ex.getMessage());
		}
	}

	private Change change(JsonNode document) {
		requireFields(document, FIELDS, "the body");
		String transaction = document.path("transaction").asText();
		if (!document.path("transaction").isTextual() || !TRANSACTION.matcher(transaction).matches()) {
			throw bad("transaction: allowed are 1 to 100 letters, digits, dots, hyphens and underscores");
		}
		List<Change.Put> puts = new ArrayList<>();
		for (JsonNode declaration : list(document, "resources")) {
			addPut(puts, declaration);
		}
		List<Change.Deletion> deletions = new ArrayList<>();
		for (JsonNode deletion : list(document, "delete")) {
			deletions.add(deletion(deletion));
		}
		if (!this.errors.isEmpty()) {
			throw RosemaryException.of(Problem.notRun(ProblemCode.INVALID_DECLARATION, String.join("; ", this.errors)));
		}
		return new Change(transaction, puts, deletions);
	}

	private void addPut(List<Change.Put> puts, JsonNode declaration) {
		OptionalLong version = version(declaration);
		JsonNode plain = declaration;
		if (declaration instanceof ObjectNode object) {
			plain = object.deepCopy().without("version");
		}
		try {
			puts.add(new Change.Put(ResourceCodec.read(plain), version));
		}
		catch (RosemaryException ex) {
			this.errors.add(ex.problem().detail());
		}
	}

	private static Change.Deletion deletion(JsonNode document) {
		requireFields(document, DELETION_FIELDS, "an item of delete");
		Kind kind = Kind.ofLabel(document.path("kind").asText())
			.orElseThrow(() -> bad("delete: kind '" + document.path("kind").asText() + "' is unknown"));
		if (!document.path("name").isTextual()) {
			throw bad("delete: an item needs the text 'name'");
		}
		return new Change.Deletion(new ResourceKey(kind, document.path("name").asText()), version(document));
	}

	private static JsonNode list(JsonNode document, String field) {
		JsonNode list = document.path(field);
		if (!list.isMissingNode() && !list.isArray()) {
			throw bad(field + ": allowed is a list");
		}
		return list;
	}

	private static OptionalLong version(JsonNode document) {
		JsonNode version = document.path("version");
		if (version.isMissingNode()) {
			return OptionalLong.empty();
		}
		if (!version.isIntegralNumber() || !version.canConvertToLong() || version.asLong() < 0) {
			throw bad("version: allowed is a whole number from 0");
		}
		return OptionalLong.of(version.asLong());
	}

	private static void requireFields(JsonNode document, Set<String> allowed, String place) {
		if (!document.isObject()) {
			throw bad(place + " is a JSON object");
		}
		document.fieldNames().forEachRemaining((field) -> {
			if (!allowed.contains(field)) {
				throw bad(place + " has the unknown field '" + field + "'; allowed are "
						+ String.join(", ", allowed.stream().sorted().toList()));
			}
		});
	}

	private static RosemaryException bad(String detail) {
		return RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST, detail));
	}

}
