package org.rosemaryfront.proof;

import java.util.List;

/**
 * One of the users' deployments, as the demo and the tests build it.
 *
 * @param name the folder of its declarations under {@code examples}
 * @param region the region
 * @param zones the availability zones
 * @param modelPool the name of the pool of model engines
 * @param model the name of the model
 * @param servicePool the name of the pool of plain services
 * @param runnerMachineClass the machine class of the runners
 * @param runners runners that the pool needs
 * @param services backend servers that the service pool needs
 * @param organisations the names of the organisations
 */
public record Deployment(String name, String region, List<String> zones, String modelPool, String model,
		String servicePool, String runnerMachineClass, int runners, int services, List<String> organisations) {

	/**
	 * The Federation's deployment.
	 * @return 6 runners and 3 booking servers in tn-north
	 */
	public static Deployment federation() {
		return new Deployment("federation", "tn-north", List.of("tunis-a", "tunis-b", "ariana"), "assistant",
				"round-assistant", "booking", "gpu-small", 6, 3,
				List.of("tunis-nord", "sfax", "sousse", "bizerte", "monastir"));
	}

	/**
	 * Tynkarnia's deployment.
	 * @return 13 runners and 3 booking servers in pl-central
	 */
	public static Deployment tynkarnia() {
		return new Deployment("tynkarnia", "pl-central", List.of("waw-a", "waw-b", "lodz-c"), "crew-assistant",
				"plaster-chat", "booking", "gpu-small", 13, 3,
				List.of("national-builder", "warszawa-crews", "lodz-crews", "homeowners", "developers"));
	}

	/**
	 * The bearer key of an organisation in the committed declarations.
	 * @param organisation the name of the organisation
	 * @return the key, known to everybody and for demos only
	 */
	public static String key(String organisation) {
		return "demo-key-" + organisation;
	}

}
