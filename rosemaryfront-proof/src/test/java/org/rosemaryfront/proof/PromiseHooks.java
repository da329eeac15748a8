package org.rosemaryfront.proof;

import io.cucumber.java.AfterAll;
import io.cucumber.java.Before;

/** Gives every scenario the same whole cluster. */
public class PromiseHooks {

	private static PromiseCluster shared;

	static PromiseCluster cluster() {
		return shared;
	}

	/** Makes the cluster whole again; the first scenario starts it. */
	@Before
	public void restore() {
		if (shared == null) {
			shared = PromiseCluster.start();
		}
		else {
			shared.restore();
		}
	}

	/** Ends all processes. */
	@AfterAll
	public static void stop() {
		if (shared != null) {
			shared.close();
		}
	}

}
