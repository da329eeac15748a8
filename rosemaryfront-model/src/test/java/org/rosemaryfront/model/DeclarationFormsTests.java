package org.rosemaryfront.model;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against declarations in the store, in operators' files and between processes
 * that cannot be read any more, since a field, a kind or a word has another name.
 */
class DeclarationFormsTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Map<Resource, String> FORMS = Map.of(
			new Resource.Pool("p", Resource.Serves.MODELS, List.of("m"), List.of("a"), List.of("c"), 1, 2,
					Resource.Fencing.CHECKED, 3, 4.5, 6.5, List.of("/i")),
			"""
					{"kind":"Pool","name":"p","spec":{"serves":"MODELS","models":["m"],"zones":["a"],
					"machineClasses":["c"],"minimum":1,"maximum":2,"fencing":"CHECKED","slotsPerServer":3,
					"recomputedTokenWeight":4.5,"latenessWeight":6.5,"idempotentPaths":["/i"]}}""",
			new Resource.Pool("s", Resource.Serves.SERVICE, List.of(), List.of(), List.of(), 0, 0,
					Resource.Fencing.IGNORED, 0, 0, 0, List.of()),
			"""
					{"kind":"Pool","name":"s","spec":{"serves":"SERVICE","models":[],"zones":[],
					"machineClasses":[],"minimum":0,"maximum":0,"fencing":"IGNORED","slotsPerServer":0,
					"recomputedTokenWeight":0.0,"latenessWeight":0.0,"idempotentPaths":[]}}""",
			new Resource.Model("m", "v", 7), """
					{"kind":"Model","name":"m","spec":{"version":"v","weightMegabytes":7}}""",
			new Resource.Adapter("d", "m", "v", 8), """
					{"kind":"Adapter","name":"d","spec":{"model":"m","version":"v","weightMegabytes":8}}""",
			new Resource.Organisation("o", List.of("h"), 1.5, List.of("p")), """
					{"kind":"Organisation","name":"o","spec":{"keyHashes":["h"],"share":1.5,"pools":["p"]}}""",
			new Resource.LatencyTarget("l", "p", Resource.Priority.CHAT, 1, 2, 3, true), """
					{"kind":"LatencyTarget","name":"l","spec":{"pool":"p","priority":"CHAT","firstTokenMillis":1,
					"betweenTokensMillis":2,"answerMillis":3,"standard":true}}""",
			new Resource.LatencyTarget("n", "p", Resource.Priority.SUMMARY, 4, 5, 6, false), """
					{"kind":"LatencyTarget","name":"n","spec":{"pool":"p","priority":"SUMMARY","firstTokenMillis":4,
					"betweenTokensMillis":5,"answerMillis":6,"standard":false}}""");

	@ParameterizedTest
	@MethodSource("resources")
	void shouldKeepFormOfDeclarationWhenEveryFieldIsSet(Resource resource) throws JsonProcessingException {
		JsonNode form = MAPPER.readTree(FORMS.get(resource));
		// Parsed from text again: a tree built from values keeps their number types.
		assertThat(MAPPER.readTree(ResourceCodec.write(resource).toString())).isEqualTo(form);
		assertThat(ResourceCodec.read(form)).isEqualTo(resource);
	}

	private static Stream<Resource> resources() {
		return FORMS.keySet().stream();
	}

}
