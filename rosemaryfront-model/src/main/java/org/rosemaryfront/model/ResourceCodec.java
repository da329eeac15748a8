package org.rosemaryfront.model;

import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes declarations as JSON.
 *
 * <pre>
 * Resource resource = ResourceCodec.read(mapper.readTree(text));
 * ObjectNode declaration = ResourceCodec.write(resource);
 * </pre>
 */
public final class ResourceCodec {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.withCoercionConfigDefaults(
				(coercion) -> coercion.setCoercion(CoercionInputShape.EmptyString, CoercionAction.Fail))
		.build();

	private ResourceCodec() {
	}

	/**
	 * Reads one declaration.
	 * @param declaration an object with {@code kind}, {@code name} and {@code spec}
	 * @return the resource
	 * @throws RosemaryException with {@link ProblemCode#INVALID_DECLARATION} when the
	 * declaration has unknown or missing fields or values of the wrong type
	 */
	public static Resource read(JsonNode declaration) {
		Objects.requireNonNull(declaration, "declaration is null");
		requireEnvelope(declaration);
		String label = declaration.get("kind").asText();
		String name = declaration.get("name").asText();
		Kind kind = Kind.ofLabel(label).orElseThrow(() -> invalid("kind '" + label + "' is unknown"));
		ObjectNode spec = declaration.get("spec").deepCopy();
		if (spec.has("name")) {
			throw invalid(label + "/" + name + ": spec has the unknown field 'name'");
		}
		spec.put("name", name);
		try {
			return MAPPER.treeToValue(spec, typeOf(kind));
		}
		catch (JsonMappingException ex) {
			throw invalid(label + "/" + name + " " + fieldPath(ex) + ": " + firstLine(ex.getOriginalMessage()));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw invalid(label + "/" + name + ": " + firstLine(ex.getMessage()));
		}
	}

	/**
	 * Writes one declaration.
	 * @param resource the resource
	 * @return an object with {@code kind}, {@code name} and {@code spec}
	 */
	public static ObjectNode write(Resource resource) {
		Objects.requireNonNull(resource, "resource is null");
		ObjectNode spec = MAPPER.valueToTree(resource);
		spec.remove("name");
		ObjectNode declaration = MAPPER.createObjectNode();
		declaration.put("kind", resource.key().kind().label());
		declaration.put("name", resource.name());
		declaration.set("spec", spec);
		return declaration;
	}

	private static void requireEnvelope(JsonNode declaration) {
		if (!declaration.isObject()) {
			throw invalid("a declaration must be a JSON object");
		}
		for (Iterator<Map.Entry<String, JsonNode>> it = declaration.properties().iterator(); it.hasNext();) {
			String field = it.next().getKey();
			if (!field.equals("kind") && !field.equals("name") && !field.equals("spec")) {
				throw invalid("a declaration has the unknown field '" + field + "'");
			}
		}
		requireText(declaration, "kind");
		requireText(declaration, "name");
		if (!declaration.path("spec").isObject()) {
			throw invalid("a declaration needs the object 'spec'");
		}
	}

	private static void requireText(JsonNode declaration, String field) {
		JsonNode value = declaration.path(field);
		if (!value.isTextual() || value.asText().isBlank()) {
			throw invalid("a declaration needs the text '" + field + "'");
		}
	}

	private static Class<? extends Resource> typeOf(Kind kind) {
		return switch (kind) {
			case POOL -> Resource.Pool.class;
			case MODEL -> Resource.Model.class;
			case ADAPTER -> Resource.Adapter.class;
			case ORGANISATION -> Resource.Organisation.class;
			case LATENCY_TARGET -> Resource.LatencyTarget.class;
		};
	}

	private static String fieldPath(JsonMappingException failure) {
		StringBuilder path = new StringBuilder("spec");
		for (JsonMappingException.Reference reference : failure.getPath()) {
			if (reference.getFieldName() != null) {
				path.append('.').append(reference.getFieldName());
			}
			else {
				path.append('[').append(reference.getIndex()).append(']');
			}
		}
		return path.toString();
	}

	private static RosemaryException invalid(String detail) {
		return RosemaryException.of(Problem.notRun(ProblemCode.INVALID_DECLARATION, detail));
	}

	private static String firstLine(String text) {
		return text.lines().findFirst().orElse("");
	}

}
