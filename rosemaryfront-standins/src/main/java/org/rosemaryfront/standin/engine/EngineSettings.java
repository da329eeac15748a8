package org.rosemaryfront.standin.engine;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.standin.http.StandInServer.ListenSettings;

/**
 * The settings of a stand-in engine; the schema {@code standin-engine.json} describes
 * them. What is missing gets a default.
 *
 * @param listen where it listens
 * @param platform the base URL of the platform, empty to boot at once without one
 * @param zone its availability zone
 * @param machineClass its machine class
 * @param fencing {@code checked} or {@code ignored}
 * @param seed the seed of what is random in it
 * @param speed {@code standard} or {@code fast}
 * @param parameters overrides of single {@link EngineParameters}
 * @param models the models loaded at every boot, each {@code name@version}
 * @param adapters the adapters loaded at every boot, each {@code name@version}
 */
public record EngineSettings(ListenSettings listen, String platform, String zone, String machineClass, String fencing,
		long seed, String speed, JsonNode parameters, List<String> models, List<String> adapters) {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	public EngineSettings {
		Objects.requireNonNull(listen, "listen is null");
		Objects.requireNonNull(zone, "zone is null");
		platform = Objects.requireNonNullElse(platform, "");
		machineClass = Objects.requireNonNullElse(machineClass, "accelerator");
		fencing = Objects.requireNonNullElse(fencing, "checked");
		speed = Objects.requireNonNullElse(speed, "standard");
		parameters = Objects.requireNonNullElse(parameters, MAPPER.createObjectNode());
		models = List.copyOf(Objects.requireNonNullElse(models, List.of()));
		adapters = List.copyOf(Objects.requireNonNullElse(adapters, List.of()));
	}

	/**
	 * An engine on any free port that boots at once, for tests.
	 * @param parameters what it can do
	 * @param models the models loaded, each {@code name@version}
	 * @return the settings
	 */
	public static EngineSettings local(EngineParameters parameters, List<String> models) {
		return new EngineSettings(new ListenSettings("127.0.0.1", 0), "", "zone-a", null,
				parameters.fencingChecked() ? "checked" : "ignored", 1, "standard", MAPPER.valueToTree(parameters),
				models, List.of());
	}

	/**
	 * What the engine can do.
	 * @return the parameters
	 */
	public EngineParameters engineParameters() {
		EngineParameters base = this.speed.equals("fast") ? EngineParameters.fast() : EngineParameters.standard();
		ObjectNode merged = MAPPER.valueToTree(base);
		this.parameters.properties().forEach((field) -> merged.set(field.getKey(), field.getValue()));
		merged.put("fencingChecked", this.fencing.equals("checked"));
		try {
			return MAPPER.treeToValue(merged, EngineParameters.class);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

}
