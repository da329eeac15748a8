package org.rosemaryfront.ctl;

import org.kohsuke.args4j.Argument;

/**
 * Takes a backend server out of service: it gets no new work and finishes what it has.
 */
public final class DrainCommand extends ServerCommand {

	@Argument(metaVar = "VM", required = true, usage = "the VM of the backend server")
	private String vm = "";

	@Override
	ExitCode run(Console console, OperatorApi api) {
		api.post("/apis/v1/drain/" + this.vm, "").document();
		console.out().println(this.vm + " is leaving");
		return ExitCode.DONE;
	}

}
