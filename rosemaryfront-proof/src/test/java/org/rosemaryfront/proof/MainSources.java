package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads the main sources of all modules, for tests that compare them with a page or a
 * list.
 */
final class MainSources {

	private MainSources() {
	}

	/**
	 * Returns the texts of all main source files, without generated ones.
	 * @return the texts, one for each file
	 */
	static List<String> all() {
		try (Stream<Path> files = Files.walk(Path.of(".."))) {
			return files.filter((file) -> file.toString().contains("/src/main/java/"))
				.filter((file) -> file.toString().endsWith(".java"))
				.map(MainSources::read)
				.toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a text file.
	 * @param file the file
	 * @return its content
	 */
	static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
