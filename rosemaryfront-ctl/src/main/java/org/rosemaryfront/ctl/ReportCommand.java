package org.rosemaryfront.ctl;

import java.nio.file.Path;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import org.rosemaryfront.report.LogReport;
import org.rosemaryfront.report.ReportException;

/**
 * Makes a page of the logs of gateways: which calls were refused, late or lost, when and
 * why.
 */
public final class ReportCommand implements Command {

	@Argument(metaVar = "LOGS", required = true, usage = "a folder of logs, or one file")
	private Path logs;

	@Option(name = "--output", metaVar = "FILE", usage = "where the page goes; report.html if not said")
	private Path output = Path.of("report.html");

	@Option(name = "--late", usage = "only list which calls were not served in time, and why")
	private boolean late;

	@Override
	public ExitCode run(Console console) {
		try {
			if (this.late) {
				LogReport.lateCalls(this.logs).forEach(console.out()::println);
				return ExitCode.DONE;
			}
			List<String> summary = LogReport.write(this.logs, this.output);
			summary.forEach(console.out()::println);
			console.out().println("the page is " + this.output);
			return ExitCode.DONE;
		}
		catch (ReportException ex) {
			throw CtlException.of(ExitCode.WRONG_USE, ex.getMessage());
		}
	}

}
