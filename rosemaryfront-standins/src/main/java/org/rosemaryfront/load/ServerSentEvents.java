package org.rosemaryfront.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads server-sent events from the bytes of a stream (WHATWG HTML, section 9.2). */
final class ServerSentEvents {

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private String id = "";

	private String event = "";

	private String data = "";

	List<Event> feed(byte[] bytes) {
		List<Event> events = new ArrayList<>();
		for (byte each : bytes) {
			if (each == '\n') {
				take(this.line.toString(StandardCharsets.UTF_8), events);
				this.line.reset();
			}
			else if (each != '\r') {
				this.line.write(each);
			}
		}
		return events;
	}

	private void take(String text, List<Event> events) {
		if (text.isEmpty()) {
			if (!this.data.isEmpty()) {
				events.add(new Event(this.id, this.event, this.data));
			}
			this.event = "";
			this.data = "";
		}
		else if (text.startsWith("id:")) {
			this.id = text.substring(3).trim();
		}
		else if (text.startsWith("event:")) {
			this.event = text.substring(6).trim();
		}
		else if (text.startsWith("data:")) {
			this.data += (this.data.isEmpty() ? "" : "\n") + text.substring(5).stripLeading();
		}
	}

	/**
	 * An event.
	 *
	 * @param id the last identifier seen
	 * @param event its type, empty for the usual one
	 * @param data its data
	 */
	record Event(String id, String event, String data) {
	}

}
