package org.rosemaryfront.proof;

import java.nio.file.Path;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.settings.SettingsFile;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a key of a settings file that is renamed or no longer read. */
class SettingsFormTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	// Every field has a key of its name, and none has its default.
	@ParameterizedTest
	@CsvSource({ "entry, org.rosemaryfront.entry.EntrySettings",
			"controller, org.rosemaryfront.controller.ControllerSettings" })
	void shouldKeepEveryKeyWhenSettingsAreRead(String program, String type) throws Exception {
		Path file = Path.of("src/test/resources/settings", program + ".json");
		Object read = SettingsFile.read(file, "/schema/" + program + ".json", Class.forName(type));
		assertThat(MAPPER.readTree(MAPPER.writeValueAsBytes(read))).isEqualTo(MAPPER.readTree(file.toFile()));
	}

}
