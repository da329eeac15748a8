package org.rosemaryfront.model;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link Declarations} and {@link ResourceCodec}.
 */
class DeclarationsTests {

	private static final String HASH = "a".repeat(64);

	private static final String VALID = """
			[{"kind":"Model","name":"plaster","spec":{"version":"1","weightMegabytes":800}},
			 {"kind":"Adapter","name":"estimates","spec":{"model":"plaster","version":"1","weightMegabytes":40}},
			 {"kind":"Pool","name":"assistant","spec":{"serves":"models","models":["plaster"],
			  "zones":["waw-a","waw-b"],"machineClasses":["gpu-small"],"minimum":2,"maximum":4,"fencing":"checked",
			  "slotsPerServer":8,"recomputedTokenWeight":0.5,"latenessWeight":1,"idempotentPaths":[]}},
			 {"kind":"Pool","name":"booking","spec":{"serves":"service","models":[],
			  "zones":["waw-a"],"machineClasses":["cpu-small"],"minimum":1,"maximum":2,"fencing":"ignored",
			  "slotsPerServer":8,"recomputedTokenWeight":0,"latenessWeight":1,"idempotentPaths":["sheets"]}},
			 {"kind":"LatencyTarget","name":"chat","spec":{"pool":"assistant","priority":"chat","firstTokenMillis":460,
			  "betweenTokensMillis":33,"answerMillis":30000,"standard":true}},
			 {"kind":"LatencyTarget","name":"summary","spec":{"pool":"assistant","priority":"summary",
			  "firstTokenMillis":5000,"betweenTokensMillis":300,"answerMillis":90000,"standard":false}},
			 {"kind":"Organisation","name":"builder","spec":{"keyHashes":["HASH"],"share":4,"pools":["assistant"]}},
			 {"kind":"Organisation","name":"homeowners","spec":{"keyHashes":[],"share":1,"pools":["booking"]}}]
			""".replace("HASH", HASH);

	@Test
	void shouldAcceptWhenDeclarationsAreValid() {
		assertThat(Declarations.validate(Configuration.empty(), read("", "", ""), List.of())).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					Pool/assistant      | zones                 | ["waw-a","WAW"]   | Pool/assistant spec.zones[1]: allowed are 1 to 63 lower case
					Pool/assistant      | zones                 | []                | Pool/assistant spec.zones: allowed is a list of at least one
					Pool/assistant      | zones                 | ["waw-a","waw-a"] | Pool/assistant spec.zones[1]: 'waw-a' is listed twice
					Pool/assistant      | machineClasses        | [""]              | Pool/assistant spec.machineClasses[0]: allowed are
					Pool/assistant      | models                | []                | Pool/assistant spec.models: a pool of model engines
					Pool/assistant      | models                | ["clay"]          | spec.models[0]: Model/clay is not declared; declared are: plaster
					Pool/booking        | models                | ["plaster"]       | Pool/booking spec.models: a pool of plain services
					Pool/assistant      | minimum               | 5                 | Pool/assistant spec.minimum: 5 is out of range; allowed is 0 to 4
					Pool/assistant      | maximum               | 10001             | Pool/assistant spec.maximum: 10001 is out of range
					Pool/assistant      | slotsPerServer        | 0                 | Pool/assistant spec.slotsPerServer: 0 is out of range; allowed is 1
					Pool/assistant      | latenessWeight        | -1                | Pool/assistant spec.latenessWeight: -1.0 is out of range
					Pool/assistant      | idempotentPaths       | ["sheets"]        | Pool/assistant spec.idempotentPaths: only a pool of plain
					Pool/booking        | idempotentPaths       | ["/sheets"]       | Pool/booking spec.idempotentPaths[0]: allowed are
					Pool/booking        | idempotentPaths       | [""]              | Pool/booking spec.idempotentPaths[0]: allowed are
					Model/plaster       | weightMegabytes       | 0                 | Model/plaster spec.weightMegabytes: 0 is out of range
					Model/plaster       | version               | "a b"             | Model/plaster spec.version: allowed are
					Adapter/estimates   | model                 | "clay"            | Adapter/estimates spec.model: Model/clay is not declared
					LatencyTarget/chat  | pool                  | "clay"            | LatencyTarget/chat spec.pool: Pool/clay is not declared
					LatencyTarget/chat  | firstTokenMillis      | 0                 | LatencyTarget/chat spec.firstTokenMillis: 0 is out of range
					LatencyTarget/chat  | betweenTokensMillis   | 86400001          | spec.betweenTokensMillis: 86400001 is out of range
					LatencyTarget/summary | standard            | true              | spec.standard: pool 'assistant' has the standard latency target 'chat'
					Organisation/builder | keyHashes            | ["ABC"]           | Organisation/builder spec.keyHashes[0]: allowed is a SHA-256
					Organisation/builder | share                | 0                 | Organisation/builder spec.share: allowed is a number above 0
					Organisation/builder | pools                | ["clay"]          | Organisation/builder spec.pools[0]: Pool/clay is not declared
					Organisation/homeowners | keyHashes         | ["HASH"]          | a key of this organisation belongs to organisation 'builder'
					""")
	void shouldReportFieldPathWhenRuleIsViolated(String resource, String field, String value, String error) {
		List<Resource> changed = read(resource, field, value.replace("HASH", HASH));
		assertThat(Declarations.validate(Configuration.empty(), changed, List.of()))
			.anySatisfy((found) -> assertThat(found).contains(error));
	}

	@ParameterizedTest
	@CsvSource({ "MODEL, plaster, Model/plaster is not declared", "POOL, assistant, Pool/assistant is not declared",
			"POOL, booking, Organisation/homeowners spec.pools[0]" })
	void shouldRejectWhenReferencedResourceIsDeleted(Kind kind, String name, String error) {
		Configuration base = Configuration.empty().with(1, read("", "", ""), List.of());
		assertThat(Declarations.validate(base, List.of(), List.of(new ResourceKey(kind, name))))
			.anySatisfy((found) -> assertThat(found).contains(error));
	}

	@Test
	void shouldRejectWhenResourceIsDeclaredTwice() {
		Resource model = new Resource.Model("m", "1", 1);
		assertThat(Declarations.validate(Configuration.empty(), List.of(model, model), List.of()))
			.containsExactly("Model/m: is listed twice in the change; only one entry is allowed");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":"5"}} | Model/m spec.weightMegabytes
			{"kind":"Pool","name":"p","spec":{"zones":[{}]}}                         | Pool/p spec.zones[0]
			{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":5,"x":1}} | Model/m spec.x
			{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":null}} | Model/m spec.weightMegabytes
			{"kind":"Model","name":"m","spec":[]}                                    | needs the object 'spec'
			{"kind":"Model","name":5,"spec":{}}                                      | needs the text 'name'
			{"kind":"Model","name":"m","spec":{},"colour":1}                         | unknown field 'colour'
			[]                                                                       | a JSON object
			""")
	void shouldReportFieldPathWhenDeclarationIsMalformed(String text, String error) throws JsonProcessingException {
		JsonNode declaration = JsonMapper.builder().build().readTree(text);
		assertThatThrownBy(() -> ResourceCodec.read(declaration)).isInstanceOf(RosemaryException.class)
			.hasMessageContaining(error);
	}

	@Test
	void shouldReadSameResourceWhenWritten() {
		List<Resource> resources = read("", "", "");
		assertThat(resources.stream().map(ResourceCodec::write).map(ResourceCodec::read)).isEqualTo(resources);
	}

	private static List<Resource> read(String resource, String field, String value) {
		try {
			JsonMapper mapper = JsonMapper.builder().build();
			List<Resource> resources = new ArrayList<>();
			for (JsonNode declaration : mapper.readTree(VALID)) {
				if (resource.equals(declaration.path("kind").asText() + "/" + declaration.path("name").asText())) {
					((ObjectNode) declaration.path("spec")).set(field, mapper.readTree(value));
				}
				resources.add(ResourceCodec.read(declaration));
			}
			return List.copyOf(resources);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
