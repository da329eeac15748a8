package org.rosemaryfront.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Renders a report as a self-contained HTML page. */
final class HtmlPage {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final String LIBRARY = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

	private static final String HEAD = """
			<!doctype html>
			<html lang="en">
			<head>
			<meta charset="utf-8">
			<title>rosemaryfront: calls of a log</title>
			<style>
			body { font: 14px sans-serif; margin: 1.5em; color: #222; }
			pre { background: #f6f6f6; padding: 1em; overflow-x: auto; font-size: 12px; }
			h2 { font-size: 15px; margin: 1.5em 0 0.3em; }
			.u-legend { font-size: 11px; text-align: left; }
			</style>
			""";

	private static final String SCRIPT = """
			const colours = ["#2a9d4a", "#e9a820", "#d1352b", "#7b3fa0", "#3a6fd8", "#777777", "#00a3a3", "#b0682f",
				"#ff7eb6", "#5b8c00", "#003f5c", "#a05195", "#f95d6a", "#8c8c00"];
			const start = Math.min(...plots.map((plot) => plot.seconds[0]));
			for (const plot of plots) {
				const title = document.createElement("h2");
				title.textContent = plot.title;
				document.body.appendChild(title);
				const series = plot.lines.map((line, i) => ({ label: line.name, stroke: colours[i % colours.length],
					width: 1.5, spanGaps: true, points: { show: plot.seconds.length < 3 } }));
				new uPlot({ width: 1100, height: 240, scales: { x: { time: false } },
					series: [{ label: "second" }, ...series],
					axes: [{ values: (_, ticks) => ticks.map((tick) => tick - start) }, { size: 80 }] },
					[plot.seconds, ...plot.lines.map((line) => line.values)], document.body);
			}
			""";

	private HtmlPage() {
	}

	/**
	 * Renders the page.
	 * @param summary the lines of text at the top of the page
	 * @param plots the plots by title
	 * @return the HTML of the page
	 */
	static String of(List<String> summary, Map<String, Series> plots) {
		return HEAD + "<style>" + resource("uPlot.min.css") + "</style>\n<script>" + resource("uPlot.iife.min.js")
				+ "</script>\n</head>\n<body>\n<h1>Calls of a log</h1>\n<pre>" + escaped(String.join("\n", summary))
				+ "</pre>\n<script>\nconst plots = " + json(plots) + ";\n" + SCRIPT + "</script>\n</body>\n</html>\n";
	}

	private static String json(Map<String, Series> plots) {
		ArrayNode list = MAPPER.createArrayNode();
		plots.forEach((title, series) -> {
			long[] seconds = series.seconds();
			ObjectNode plot = list.addObject().put("title", title);
			plot.set("seconds", MAPPER.valueToTree(seconds));
			ArrayNode lines = plot.putArray("lines");
			series.lines()
				.keySet()
				.forEach((name) -> lines.addObject()
					.put("name", name)
					.set("values", MAPPER.valueToTree(series.values(name, seconds))));
		});
		try {
			// Names come from logs, so a "</script>" in one must not end the script
			// element.
			return MAPPER.writeValueAsString(list).replace("<", "\\u003c");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String escaped(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

	private static String resource(String name) {
		try (InputStream in = HtmlPage.class.getResourceAsStream(LIBRARY + name)) {
			if (in == null) {
				throw new IllegalStateException(LIBRARY + name + " is not on the class path");
			}
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
