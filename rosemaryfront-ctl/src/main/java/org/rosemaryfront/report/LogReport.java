package org.rosemaryfront.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes an HTML report from the logs of gateways. It shows operators after an incident
 * which calls were refused, late or lost, when and why.
 *
 * <pre>
 * List&lt;String&gt; summary = LogReport.write(Path.of("logs"), Path.of("report.html"));
 * </pre>
 */
public final class LogReport {

	private LogReport() {
	}

	/**
	 * Writes the report page.
	 * @param logs the folder of logs, or one file
	 * @param page the file to write the page to
	 * @return the report as text
	 * @throws ReportException when the logs cannot be read, contain no event, or the page
	 * cannot be written
	 */
	public static List<String> write(Path logs, Path page) {
		Report report = Report.of(LogFolder.read(logs));
		List<String> summary = report.summary();
		try {
			Files.writeString(page, HtmlPage.of(summary, report.plots()));
		}
		catch (IOException ex) {
			throw ReportException.of(page + " cannot be written: " + ex.getMessage());
		}
		return summary;
	}

	/**
	 * Lists the calls that were not served in time.
	 * @param logs the folder of logs, or one file
	 * @return the calls by organisation, route and hour, with the reasons, as text
	 * @throws ReportException when the logs cannot be read or contain no event
	 */
	public static List<String> lateCalls(Path logs) {
		LogFolder folder = LogFolder.read(logs);
		List<String> lines = new ArrayList<>(LateCalls.of(CallHistory.of(folder.events()).values()).lines());
		lines.add(folder.damaged() + " damaged and " + folder.foreign() + " foreign lines passed over");
		return lines;
	}

}
