package org.rosemaryfront.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.CloudClient.VmState;
import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

/**
 * The JSON forms of the platform protocol, both ways; docs/INTERFACES.md gives them.
 *
 * <p>
 * Every reading method throws {@link IllegalArgumentException} that names the field when
 * a document does not have the form.
 */
public final class PlatformCodec {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private PlatformCodec() {
	}

	// -- documents

	/**
	 * Writes a document.
	 * @param document the document
	 * @return its bytes in UTF-8
	 */
	public static byte[] bytes(JsonNode document) {
		try {
			return MAPPER.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * An empty document.
	 * @return the document
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Reads a document.
	 * @param bytes its bytes in UTF-8
	 * @return the document
	 * @throws IllegalArgumentException when the bytes are no JSON object
	 */
	public static JsonNode tree(byte[] bytes) {
		try {
			JsonNode document = MAPPER.readTree(bytes);
			if (document == null || !document.isObject()) {
				throw new IllegalArgumentException("the document is no JSON object");
			}
			return document;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the document is no valid JSON", ex);
		}
	}

	/**
	 * The protocol's word for a constant.
	 * @param constant the constant
	 * @return the word, such as {@code on-demand}
	 */
	public static String word(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Writes a list as a document with one field.
	 * @param <T> the type of the items
	 * @param field the name of the field
	 * @param items the items
	 * @param item writes an item
	 * @return the document
	 */
	public static <T> ObjectNode list(String field, List<T> items, Function<T, JsonNode> item) {
		ObjectNode document = object();
		ArrayNode array = document.putArray(field);
		items.forEach((each) -> array.add(item.apply(each)));
		return document;
	}

	/**
	 * Reads a list.
	 * @param <T> the type of the items
	 * @param document the document
	 * @param field the name of the field
	 * @param item reads an item
	 * @return the items
	 */
	public static <T> List<T> list(JsonNode document, String field, Function<JsonNode, T> item) {
		JsonNode array = document.path(field);
		if (!array.isArray()) {
			throw new IllegalArgumentException(field + " is no list");
		}
		List<T> items = new ArrayList<>(array.size());
		array.forEach((each) -> items.add(item.apply(each)));
		return List.copyOf(items);
	}

	// -- tables

	/**
	 * Reads a condition.
	 * @param document the document
	 * @return the condition
	 */
	public static Condition condition(JsonNode document) {
		return new Condition(text(document, "table"), text(document, "key"), number(document, "version"));
	}

	/**
	 * Writes a condition.
	 * @param condition the condition
	 * @return the document
	 */
	public static ObjectNode condition(Condition condition) {
		return object().put("table", condition.table()).put("key", condition.key()).put("version", condition.version());
	}

	/**
	 * Reads a row.
	 * @param document the document
	 * @return the row
	 */
	public static Row row(JsonNode document) {
		return new Row(text(document, "table"), text(document, "key"), required(document, "value"),
				number(document, "version"));
	}

	/**
	 * Writes a row.
	 * @param row the row
	 * @return the document
	 */
	public static ObjectNode row(Row row) {
		ObjectNode document = object().put("table", row.table()).put("key", row.key()).put("version", row.version());
		document.set("value", row.value());
		return document;
	}

	/**
	 * Reads a transaction.
	 * @param document the document
	 * @return the transaction
	 */
	public static Transaction transaction(JsonNode document) {
		return new Transaction(list(document, "conditions", PlatformCodec::condition),
				list(document, "writes", PlatformCodec::write));
	}

	/**
	 * Writes a transaction.
	 * @param transaction the transaction
	 * @return the document
	 */
	public static ObjectNode transaction(Transaction transaction) {
		ObjectNode document = list("conditions", transaction.conditions(), PlatformCodec::condition);
		document.setAll(list("writes", transaction.writes(), PlatformCodec::write));
		return document;
	}

	/**
	 * Reads the versions that a commit gave.
	 * @param document the document
	 * @return the versions
	 */
	public static List<Long> versions(JsonNode document) {
		return list(document, "versions", JsonNode::asLong);
	}

	/**
	 * Writes the versions that a commit gave.
	 * @param versions the versions
	 * @return the document
	 */
	public static ObjectNode versions(List<Long> versions) {
		return list("versions", versions, LongNode::valueOf);
	}

	private static Write write(JsonNode document) {
		JsonNode value = required(document, "value");
		return new Write(text(document, "table"), text(document, "key"),
				value.isNull() ? Optional.empty() : Optional.of(value));
	}

	private static ObjectNode write(Write write) {
		ObjectNode document = object().put("table", write.table()).put("key", write.key());
		document.set("value", write.value().orElse(MAPPER.nullNode()));
		return document;
	}

	// -- cloud

	/**
	 * Reads an entry of the VM list.
	 * @param document the document
	 * @return the entry
	 */
	public static Listed listed(JsonNode document) {
		return new Listed(new VmId(text(document, "vm")), text(document, "role"), text(document, "pool"),
				text(document, "zone"), text(document, "address"), required(document, "leaving").asBoolean());
	}

	/**
	 * Writes an entry of the VM list.
	 * @param listed the entry
	 * @return the document
	 */
	public static ObjectNode listed(Listed listed) {
		return object().put("vm", listed.vm().value())
			.put("role", listed.role())
			.put("pool", listed.pool())
			.put("zone", listed.zone())
			.put("address", listed.address())
			.put("leaving", listed.leaving());
	}

	/**
	 * Reads a notice.
	 * @param document the document
	 * @return the notice
	 */
	public static Notice notice(JsonNode document) {
		return new Notice(number(document, "number"), new VmId(text(document, "vm")),
				number(document, "remainingMillis"));
	}

	/**
	 * Writes a notice.
	 * @param notice the notice
	 * @return the document
	 */
	public static ObjectNode notice(Notice notice) {
		return object().put("number", notice.number())
			.put("vm", notice.vm().value())
			.put("remainingMillis", notice.remainingMillis());
	}

	/**
	 * Reads an offer.
	 * @param document the document
	 * @return the offer
	 */
	public static Offer offer(JsonNode document) {
		return new Offer(text(document, "zone"), text(document, "machineClass"), market(document),
				required(document, "pricePerHour").asDouble(), required(document, "reclaimsPerHour").asDouble());
	}

	/**
	 * Writes an offer.
	 * @param offer the offer
	 * @return the document
	 */
	public static ObjectNode offer(Offer offer) {
		return object().put("zone", offer.zone())
			.put("machineClass", offer.machineClass())
			.put("market", word(offer.market()))
			.put("pricePerHour", offer.pricePerHour())
			.put("reclaimsPerHour", offer.reclaimsPerHour());
	}

	/**
	 * Reads a purchase.
	 * @param document the document
	 * @return the purchase
	 */
	public static Purchase purchase(JsonNode document) {
		return new Purchase(text(document, "clientToken"), text(document, "pool"), text(document, "zone"),
				text(document, "machineClass"), market(document));
	}

	/**
	 * Writes a purchase.
	 * @param purchase the purchase
	 * @return the document
	 */
	public static ObjectNode purchase(Purchase purchase) {
		return object().put("clientToken", purchase.clientToken())
			.put("pool", purchase.pool())
			.put("zone", purchase.zone())
			.put("machineClass", purchase.machineClass())
			.put("market", word(purchase.market()));
	}

	/**
	 * Reads a VM.
	 * @param document the document
	 * @return the VM
	 */
	public static Vm vm(JsonNode document) {
		return new Vm(new VmId(text(document, "id")), text(document, "clientToken"), text(document, "pool"),
				text(document, "zone"), text(document, "machineClass"), market(document),
				constant(VmState.values(), document, "state"), text(document, "address"));
	}

	/**
	 * Writes a VM.
	 * @param vm the VM
	 * @return the document
	 */
	public static ObjectNode vm(Vm vm) {
		return object().put("id", vm.id().value())
			.put("clientToken", vm.clientToken())
			.put("pool", vm.pool())
			.put("zone", vm.zone())
			.put("machineClass", vm.machineClass())
			.put("market", word(vm.market()))
			.put("state", word(vm.state()))
			.put("address", vm.address());
	}

	private static Market market(JsonNode document) {
		return constant(Market.values(), document, "market");
	}

	// -- fields

	/**
	 * Reads a whole number.
	 * @param document the document
	 * @param field the name of the field
	 * @return the number
	 */
	public static long number(JsonNode document, String field) {
		JsonNode value = document.path(field);
		if (!value.canConvertToExactIntegral()) {
			throw new IllegalArgumentException(field + " is no whole number");
		}
		return value.asLong();
	}

	/**
	 * Reads a text.
	 * @param document the document
	 * @param field the name of the field
	 * @return the text
	 */
	public static String text(JsonNode document, String field) {
		JsonNode value = document.path(field);
		if (!value.isTextual()) {
			throw new IllegalArgumentException(field + " is no text");
		}
		return value.asText();
	}

	/**
	 * Reads a constant by its word.
	 * @param <T> the type of the constant
	 * @param constants those allowed
	 * @param document the document
	 * @param field the name of the field
	 * @return the constant
	 */
	public static <T extends Enum<T>> T constant(T[] constants, JsonNode document, String field) {
		String word = text(document, field);
		return Arrays.stream(constants)
			.filter((constant) -> word(constant).equals(word))
			.findFirst()
			.orElseThrow(
					() -> new IllegalArgumentException(field + " is " + word + ", must be one of " + words(constants)));
	}

	private static JsonNode required(JsonNode document, String field) {
		JsonNode value = document.get(field);
		if (value == null) {
			throw new IllegalArgumentException(field + " is missing");
		}
		return value;
	}

	private static List<String> words(Enum<?>[] constants) {
		return Arrays.stream(constants).map(PlatformCodec::word).toList();
	}

}
