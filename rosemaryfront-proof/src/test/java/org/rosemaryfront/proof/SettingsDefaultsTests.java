package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.controller.ControllerProgram;
import org.rosemaryfront.entry.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An operator reads a default in the schema or on the page of settings, and the program
 * uses another: the two stand in different files. Compares them.
 */
class SettingsDefaultsTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Pattern DEFAULT_IN_WORDS = Pattern.compile("Default (\\d+(?:\\.\\d+)?)");

	@ParameterizedTest
	@CsvSource({ "entry, org.rosemaryfront.entry.EntrySettings",
			"controller, org.rosemaryfront.controller.ControllerSettings" })
	void shouldUseTheDefaultsOfTheSchema(String program, String type) throws Exception {
		JsonNode schema = schema(program);
		JsonNode used = MAPPER.valueToTree(MAPPER.treeToValue(least(schema, schema), Class.forName(type)));
		Map<String, Double> inSchema = new TreeMap<>();
		Map<String, Double> inRecord = new TreeMap<>();
		Map<String, Double> inWords = new TreeMap<>();
		optional(schema, schema, "").forEach((path, setting) -> {
			inSchema.put(path, setting.path("default").asDouble(Double.NaN));
			inRecord.put(path, used.at(path).asDouble(Double.NaN));
			Matcher words = DEFAULT_IN_WORDS.matcher(setting.path("description").asText());
			inWords.put(path, words.find() ? Double.parseDouble(words.group(1)) : Double.NaN);
		});
		assertThat(inSchema).isNotEmpty().doesNotContainValue(Double.NaN);
		assertThat(inRecord).as("the record").isEqualTo(inSchema);
		assertThat(inWords).as("the descriptions").isEqualTo(inSchema);
	}

	// The numbers that a settings file may leave out, by their place. Texts and lists
	// have no defaults.
	private static Map<String, JsonNode> optional(JsonNode root, JsonNode object, String prefix) {
		Map<String, JsonNode> found = new TreeMap<>();
		object.path("properties").properties().forEach((property) -> {
			JsonNode setting = target(root, property.getValue());
			String path = prefix + "/" + property.getKey();
			boolean number = setting.path("type").asText().equals("integer")
					|| setting.path("type").asText().equals("number");
			if (number && !required(object, property.getKey())) {
				found.put(path, setting);
			}
			found.putAll(optional(root, setting, path));
		});
		return found;
	}

	// The shortest settings that the schema takes.
	private static ObjectNode least(JsonNode root, JsonNode object) {
		ObjectNode settings = MAPPER.createObjectNode();
		object.path("properties").properties().forEach((property) -> {
			if (required(object, property.getKey())) {
				settings.set(property.getKey(), value(root, target(root, property.getValue())));
			}
		});
		return settings;
	}

	private static JsonNode value(JsonNode root, JsonNode setting) {
		return switch (setting.path("type").asText()) {
			case "object" -> least(root, setting);
			case "array" -> MAPPER.createArrayNode();
			case "integer" -> MAPPER.getNodeFactory().numberNode(setting.path("minimum").asInt());
			default -> MAPPER.getNodeFactory().textNode("text");
		};
	}

	private static boolean required(JsonNode object, String name) {
		return object.path("required").valueStream().anyMatch((required) -> required.asText().equals(name));
	}

	private static JsonNode target(JsonNode root, JsonNode node) {
		return node.has("$ref") ? target(root, root.at(node.path("$ref").asText().substring(1))) : node;
	}

	private static JsonNode schema(String program) throws IOException {
		Class<?> type = program.equals("entry") ? EntrySettings.class : ControllerProgram.class;
		try (InputStream in = type.getResourceAsStream("/schema/" + program + ".json")) {
			return MAPPER.readTree(in);
		}
	}

}
