package org.rosemaryfront.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.SerializedString;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.engine.EngineClient.ActualState;
import org.rosemaryfront.engine.EngineClient.CacheEvents;
import org.rosemaryfront.engine.EngineClient.EngineOrder;
import org.rosemaryfront.engine.EngineClient.Load;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.model.AttemptId;

/**
 * The JSON forms of the engine protocol, for both of its ends; docs/INTERFACES.md gives
 * them.
 */
public final class EngineJson {

	/**
	 * An engine that is updated before this process may tell more than this one knows.
	 */
	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private static final JsonFactory FACTORY = MAPPER.getFactory();

	private EngineJson() {
	}

	// -- stream events

	/**
	 * Reads one event of a stream.
	 * @param line the bytes that hold it
	 * @param offset where it begins
	 * @param length its length, without the line feed
	 * @return the event
	 * @throws IOException when it is no valid event
	 */
	public static EngineEvent readEvent(byte[] line, int offset, int length) throws IOException {
		String type = "";
		String attempt = "";
		String text = "";
		int number = 0;
		try (JsonParser parser = FACTORY.createParser(line, offset, length)) {
			parser.nextToken();
			for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
				JsonToken value = parser.nextToken();
				switch (name) {
					case "t" -> type = parser.getText();
					case "attempt" -> attempt = parser.getText();
					case "text", "reason" -> text = parser.getText();
					case "i", "cached", "tokens" -> number = parser.getIntValue();
					default -> skip(parser, value);
				}
			}
		}
		return event(type, new AttemptId(attempt), text, number);
	}

	/**
	 * Writes one event of a stream.
	 * @param event the event
	 * @return its JSON form with a line feed
	 */
	public static String writeEvent(EngineEvent event) {
		String attempt = ",\"attempt\":" + quote(event.attempt().value());
		return switch (event) {
			case EngineEvent.Accepted accepted ->
				"{\"t\":\"accepted\"" + attempt + ",\"cached\":" + accepted.cachedTokens() + "}\n";
			case EngineEvent.Token token ->
				"{\"t\":\"token\"" + attempt + ",\"i\":" + token.index() + ",\"text\":" + quote(token.text()) + "}\n";
			case EngineEvent.Heartbeat _ -> "{\"t\":\"heartbeat\"" + attempt + "}\n";
			case EngineEvent.Done done -> "{\"t\":\"done\"" + attempt + ",\"reason\":" + quote(done.finishReason())
					+ ",\"tokens\":" + done.tokens() + "}\n";
			case EngineEvent.Stopped stopped ->
				"{\"t\":\"stopped\"" + attempt + ",\"reason\":" + quote(stopped.reason()) + "}\n";
		};
	}

	private static EngineEvent event(String type, AttemptId attempt, String text, int number) throws IOException {
		return switch (type) {
			case "token" -> new EngineEvent.Token(attempt, number, text);
			case "heartbeat" -> new EngineEvent.Heartbeat(attempt);
			case "accepted" -> new EngineEvent.Accepted(attempt, number);
			case "done" -> new EngineEvent.Done(attempt, text, number);
			case "stopped" -> new EngineEvent.Stopped(attempt, text);
			default -> throw new IOException("unknown event '" + type + "'");
		};
	}

	private static void skip(JsonParser parser, JsonToken value) throws IOException {
		if (value.isStructStart()) {
			parser.skipChildren();
		}
	}

	private static String quote(String text) {
		return '"' + String.valueOf(new SerializedString(text).asQuotedChars()) + '"';
	}

	// -- calls

	/**
	 * Reads a stream order.
	 * @param json its JSON form
	 * @return the order
	 */
	public static StreamOrder readStreamOrder(String json) {
		JsonNode node = tree(json);
		return new StreamOrder(new AttemptId(node.path("attempt").asText()), node.path("model").asText(),
				node.path("adapter").asText(), node.path("prompt").asText(), blocks(node.path("blocks")),
				texts(node.path("emitted")), node.path("maxTokens").asInt(), node.path("priority").asInt(),
				Duration.ofMillis(node.path("expiresMillis").asLong()));
	}

	/**
	 * Writes a stream order.
	 * @param order the order
	 * @return its JSON form
	 */
	public static String write(StreamOrder order) {
		ObjectNode node = MAPPER.createObjectNode()
			.put("attempt", order.attempt().value())
			.put("model", order.model())
			.put("adapter", order.adapter())
			.put("prompt", order.prompt())
			.put("maxTokens", order.maxTokens())
			.put("priority", order.priority())
			.put("expiresMillis", order.expiresAfter().toMillis());
		putBlocks(node.putArray("blocks"), order.blocks());
		order.emitted().forEach(node.putArray("emitted")::add);
		return node.toString();
	}

	/**
	 * Reads a load report.
	 * @param json its JSON form
	 * @return the report
	 */
	public static Load readLoad(String json) {
		return value(json, Load.class);
	}

	/**
	 * Reads cache events.
	 * @param json their JSON form
	 * @return the events
	 */
	public static CacheEvents readCacheEvents(String json) {
		JsonNode node = tree(json);
		return new CacheEvents(node.path("last").asLong(), node.path("gap").asBoolean(), blocks(node.path("added")),
				blocks(node.path("removed")));
	}

	/**
	 * Writes cache events.
	 * @param events the events
	 * @return their JSON form
	 */
	public static String write(CacheEvents events) {
		ObjectNode node = MAPPER.createObjectNode().put("last", events.last()).put("gap", events.gap());
		putBlocks(node.putArray("added"), events.added());
		putBlocks(node.putArray("removed"), events.removed());
		return node.toString();
	}

	/**
	 * Reads an order.
	 * @param json its JSON form
	 * @return the order
	 */
	public static EngineOrder readOrder(String json) {
		return value(json, EngineOrder.class);
	}

	/**
	 * Reads an actual state.
	 * @param json its JSON form
	 * @return the state
	 */
	public static ActualState readState(String json) {
		return value(json, ActualState.class);
	}

	/**
	 * Writes a record of the protocol whose form has its own field names.
	 * @param value the record
	 * @return its JSON form
	 */
	public static String write(Record value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads any JSON document.
	 * @param json the text
	 * @return the document
	 */
	public static JsonNode tree(String json) {
		Objects.requireNonNull(json, "json is null");
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads block hashes.
	 * @param node an array of hexadecimal texts
	 * @return the hashes
	 */
	public static List<Long> blocks(JsonNode node) {
		List<Long> blocks = new ArrayList<>(node.size());
		node.forEach((block) -> blocks.add(Long.parseUnsignedLong(block.asText(), 16)));
		return List.copyOf(blocks);
	}

	/**
	 * Writes block hashes.
	 * @param array takes hexadecimal texts
	 * @param blocks the hashes
	 */
	public static void putBlocks(ArrayNode array, List<Long> blocks) {
		blocks.forEach((block) -> array.add(HexFormat.of().toHexDigits(block)));
	}

	private static List<String> texts(JsonNode node) {
		List<String> texts = new ArrayList<>(node.size());
		node.forEach((text) -> texts.add(text.asText()));
		return List.copyOf(texts);
	}

	private static <T> T value(String json, Class<T> type) {
		try {
			return MAPPER.readValue(json, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
