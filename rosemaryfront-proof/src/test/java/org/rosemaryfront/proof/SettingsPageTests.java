package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The page of settings against the programs' schemas; {@code bin/docs} writes the page
 * anew.
 */
class SettingsPageTests {

	private static final Path ROOT = Path.of("..");

	private static final Path PAGE = ROOT.resolve("docs/SETTINGS.md");

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	static List<Path> schemas() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			return files.filter((file) -> file.toString().contains("/src/main/resources/schema/"))
				.filter((file) -> file.toString().endsWith(".json"))
				.sorted()
				.toList();
		}
	}

	@Test
	void shouldFindTheSchemaOfEveryServerProgram() throws IOException {
		assertThat(schemas().stream().map(SettingsPageTests::program)).contains("entry", "controller",
				"standin-platform", "standin-engine", "standin-service");
	}

	@ParameterizedTest
	@MethodSource("schemas")
	void shouldDescribeEverySetting(Path schema) {
		settings(schema).forEach(
				(setting, description) -> assertThat(description).as(program(schema) + " " + setting).isNotBlank());
	}

	@ParameterizedTest
	@MethodSource("schemas")
	void shouldRefuseUnknownSettings(Path schema) {
		JsonNode root = read(schema);
		root.findParents("properties").forEach((object) -> {
			if (object.path("properties").isObject() && object.has("type")) {
				assertThat(object.path("additionalProperties").isBoolean()
						&& !object.path("additionalProperties").asBoolean())
					.as(program(schema) + ": an object with " + object.path("properties").properties())
					.isTrue();
			}
		});
	}

	@Test
	void shouldListEverySettingAndNoOther() throws IOException {
		Map<String, List<String>> expected = new TreeMap<>();
		for (Path schema : schemas()) {
			expected.put(program(schema), settings(schema).keySet().stream().sorted().toList());
		}
		assertThat(listed()).as("docs/SETTINGS.md; run bin/docs").isEqualTo(expected);
	}

	private static Map<String, List<String>> listed() throws IOException {
		Map<String, List<String>> listed = new TreeMap<>();
		String program = "";
		for (String line : Files.readAllLines(PAGE)) {
			if (line.startsWith("## ")) {
				program = line.substring(3);
				listed.put(program, new ArrayList<>());
			}
			else if (line.startsWith("| `")) {
				listed.get(program).add(line.substring(3, line.indexOf('`', 3)));
			}
		}
		listed.values().forEach((names) -> names.sort(null));
		return listed;
	}

	private static Map<String, String> settings(Path schema) {
		JsonNode root = read(schema);
		Map<String, String> settings = new TreeMap<>();
		addSettings(settings, root, root, "");
		return settings;
	}

	private static void addSettings(Map<String, String> settings, JsonNode root, JsonNode object, String prefix) {
		object.path("properties").properties().forEach((property) -> {
			JsonNode target = target(root, property.getValue());
			String name = prefix + property.getKey();
			settings.put(name, property.getValue().path("description").asText(target.path("description").asText()));
			addSettings(settings, root, target, name + ".");
			addSettings(settings, root, target(root, target.path("items")), name + "[].");
		});
	}

	private static JsonNode target(JsonNode root, JsonNode node) {
		return node.has("$ref") ? target(root, root.at(node.path("$ref").asText().substring(1))) : node;
	}

	private static String program(Path schema) {
		return schema.getFileName().toString().replace(".json", "");
	}

	private static JsonNode read(Path file) {
		try {
			return MAPPER.readTree(Files.readString(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
