package org.rosemaryfront.ctl;

import java.util.List;

import org.kohsuke.args4j.Argument;

/**
 * Shows the decisions on a request, asking every server since each knows its own.
 */
public final class ExplainCommand extends ServerCommand {

	private static final int NOT_FOUND = 404;

	@Argument(metaVar = "REQUEST", required = true, usage = "the request, from the answer's X-Request-Id")
	private String request = "";

	@Override
	ExitCode run(Console console, OperatorApi api) {
		List<Answer> answers = api.getAll("/apis/v1/explain/" + this.request);
		List<Answer> found = answers.stream().filter((answer) -> answer.status() != NOT_FOUND).toList();
		if (found.isEmpty()) {
			throw CtlException.of(ExitCode.FAILED, "none of the servers made a decision on request " + this.request);
		}
		found.forEach((answer) -> {
			console.out().println(answer.server() + ":");
			answer.document().path("decisions").forEach((line) -> console.out().println("  " + line.asText()));
		});
		return ExitCode.DONE;
	}

}
