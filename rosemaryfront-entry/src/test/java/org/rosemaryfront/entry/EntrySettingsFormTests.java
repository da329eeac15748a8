package org.rosemaryfront.entry;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.settings.SettingsFile;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a key of the settings file that has another name or is not heard. */
class EntrySettingsFormTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	// Every field has a key of its name, and none has its default.
	@Test
	void shouldHearEveryKeyWhenSettingsAreRead() throws IOException {
		Path file = Path.of("src/test/resources/settings/entry.json");
		EntrySettings read = SettingsFile.read(file, "/schema/entry.json", EntrySettings.class);
		assertThat(MAPPER.readTree(MAPPER.writeValueAsBytes(read))).isEqualTo(MAPPER.readTree(file.toFile()));
	}

}
