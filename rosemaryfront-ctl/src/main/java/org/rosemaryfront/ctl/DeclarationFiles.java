package org.rosemaryfront.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;

/**
 * Reads declarations from files and folders. A file holds one declaration or a list of
 * them; of a folder all files ending in {@code .json} are read.
 */
final class DeclarationFiles {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private final Map<ResourceKey, Resource> resources = new TreeMap<>();

	private final Map<ResourceKey, Path> places = new TreeMap<>();

	private final List<String> errors = new ArrayList<>();

	private DeclarationFiles() {
	}

	/**
	 * Reads all declarations.
	 * @param paths files and folders
	 * @return the resources, by kind and name
	 * @throws CtlException with {@link ExitCode#WRONG_USE} that names every file and
	 * place that is wrong
	 */
	static List<Resource> read(List<Path> paths) {
		DeclarationFiles files = new DeclarationFiles();
		paths.forEach(files::readPath);
		if (!files.errors.isEmpty()) {
			throw CtlException.of(ExitCode.WRONG_USE, String.join("\n", files.errors));
		}
		if (files.resources.isEmpty()) {
			throw CtlException.of(ExitCode.WRONG_USE, "no declaration found in " + paths);
		}
		return List.copyOf(files.resources.values());
	}

	private void readPath(Path path) {
		try (Stream<Path> files = Files.isDirectory(path) ? Files.walk(path) : Stream.of(path)) {
			files.filter((file) -> file.equals(path) ? !Files.isDirectory(file) : isDeclaration(file))
				.sorted()
				.forEach(this::readFile);
		}
		catch (IOException ex) {
			this.errors.add(path + ": cannot be read: " + ex.getMessage());
		}
	}

	private static boolean isDeclaration(Path file) {
		return Files.isRegularFile(file) && file.getFileName().toString().endsWith(".json");
	}

	private void readFile(Path file) {
		try {
			JsonNode document = MAPPER.readTree(Files.readString(file));
			if (document.isArray()) {
				document.forEach((declaration) -> add(file, declaration));
			}
			else {
				add(file, document);
			}
		}
		catch (JsonProcessingException ex) {
			this.errors.add(file + ":" + ex.getLocation().getLineNr() + ":" + ex.getLocation().getColumnNr()
					+ ": no valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			this.errors.add(file + ": cannot be read: " + ex.getMessage());
		}
	}

	private void add(Path file, JsonNode declaration) {
		try {
			Resource resource = ResourceCodec.read(declaration);
			Path other = this.places.putIfAbsent(resource.key(), file);
			if (other != null) {
				this.errors.add(file + ": " + resource.key() + " stands in " + other + " too; allowed is once");
			}
			this.resources.put(resource.key(), resource);
		}
		catch (RosemaryException ex) {
			this.errors.add(file + ": " + ex.problem().detail());
		}
	}

}
