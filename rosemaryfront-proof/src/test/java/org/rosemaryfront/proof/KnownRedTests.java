package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The list of tests that the checks pass over. */
class KnownRedTests {

	private static final String LISTED = "KnownRedTests#shouldPassOverNothingWithoutList"
			+ " | a cause | 7 | bin/verify | none\n";

	@TempDir
	private Path folder;

	@Test
	void shouldPassOverNothingWithoutList() throws Exception {
		assertThat(read()).isZero();
		assertThat(patterns()).isEmpty();
		assertThat(printed()).isEmpty();
	}

	@Test
	void shouldPassOverJustWhatIsListedAndPrintIt() throws Exception {
		write("# mended first\n\n" + LISTED);
		assertThat(read()).isZero();
		assertThat(patterns()).isEqualTo("**/KnownRedTests.java#shouldPassOverNothingWithoutList\n");
		assertThat(printed()).contains("KnownRedTests#shouldPassOverNothingWithoutList", "a cause", "issue 7");
	}

	// Each of these would let the checks pass over more than was meant, or over a test
	// that nobody can find any more.
	@ParameterizedTest
	@ValueSource(strings = { "KnownRedTests | a cause | 7 | bin/verify | none\n",
			"*Tests#should* | a cause | 7 | bin/verify | none\n",
			"KnownRedTests#shouldBeGone | a cause | 7 | bin/verify | none\n",
			"KnownRedTests#shouldPassOverNothingWithoutList | a cause | 7\n",
			"KnownRedTests#shouldPassOverNothingWithoutList | | 7 | bin/verify | none\n",
			LISTED + LISTED + LISTED + LISTED })
	void shouldRefuseListThatCouldHideFailures(String list) throws Exception {
		write(list);
		assertThat(read()).isEqualTo(2);
		assertThat(Files.readString(this.folder.resolve("err"))).contains("KNOWN-RED.txt:");
	}

	private void write(String list) throws IOException {
		Files.writeString(this.folder.resolve("KNOWN-RED.txt"), list);
	}

	private int read() throws IOException, InterruptedException {
		Path script = Path.of("").toAbsolutePath().getParent().resolve("bin/known-red");
		return new ProcessBuilder(script.toString(), this.folder.resolve("KNOWN-RED.txt").toString(),
				this.folder.resolve("patterns").toString())
			.redirectOutput(this.folder.resolve("out").toFile())
			.redirectError(this.folder.resolve("err").toFile())
			.start()
			.waitFor();
	}

	private String patterns() throws IOException {
		return Files.readString(this.folder.resolve("patterns"));
	}

	private String printed() throws IOException {
		return Files.readString(this.folder.resolve("out"));
	}

}
