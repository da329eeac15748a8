package org.rosemaryfront.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Declarations;
import org.rosemaryfront.model.Resource;

/**
 * Checks declarations without a server.
 */
public final class ValidateCommand implements Command {

	@Argument(metaVar = "PATH", required = true, usage = "files and folders of declarations")
	private List<Path> paths = new ArrayList<>();

	@Override
	public ExitCode run(Console console) {
		List<Resource> resources = DeclarationFiles.read(this.paths);
		List<String> errors = Declarations.validate(Configuration.empty(), resources, List.of());
		errors.forEach(console.err()::println);
		if (!errors.isEmpty()) {
			return ExitCode.WRONG_USE;
		}
		console.out().println(resources.size() + " declarations are valid");
		return ExitCode.DONE;
	}

}
