package org.rosemaryfront.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;

/**
 * Reads the settings of a program from a JSON file and validates them against the JSON
 * schema that ships with the program.
 *
 * <pre>
 * EntrySettings settings = SettingsFile.read(file, "/schema/entry.json", EntrySettings.class);
 * </pre>
 */
public final class SettingsFile {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private SettingsFile() {
	}

	/**
	 * Reads and validates a settings file.
	 * @param <T> the type of the settings
	 * @param file the file
	 * @param schema the resource path of the JSON schema
	 * @param type the record type to which the settings are mapped
	 * @return the settings
	 * @throws SettingsException if the file cannot be read, is not valid JSON or does not
	 * conform to the schema
	 */
	public static <T> T read(Path file, String schema, Class<T> type) {
		Objects.requireNonNull(file, "file is null");
		Objects.requireNonNull(schema, "schema is null");
		JsonNode settings = parse(file);
		List<Error> errors = schema(schema, type).validate(settings);
		if (!errors.isEmpty()) {
			throw new SettingsException(file + ": " + describe(errors));
		}
		try {
			return MAPPER.treeToValue(settings, type);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new SettingsException(file + ": " + ex.getMessage());
		}
	}

	private static JsonNode parse(Path file) {
		try {
			return MAPPER.readTree(Files.readString(file));
		}
		catch (JsonProcessingException ex) {
			throw new SettingsException(file + ":" + ex.getLocation().getLineNr() + ":" + ex.getLocation().getColumnNr()
					+ ": not valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new SettingsException(file + ": cannot be read: " + ex.getMessage());
		}
	}

	private static Schema schema(String path, Class<?> type) {
		try (InputStream in = type.getResourceAsStream(path)) {
			if (in == null) {
				throw new SettingsException("schema " + path + " is missing from the resources of the program");
			}
			return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(MAPPER.readTree(in));
		}
		catch (IOException ex) {
			throw new SettingsException("schema " + path + " cannot be read: " + ex.getMessage());
		}
	}

	private static String describe(List<Error> errors) {
		return errors.stream()
			.map((error) -> error.getInstanceLocation() + ": " + error.getMessage())
			.distinct()
			.collect(Collectors.joining("; "));
	}

}
