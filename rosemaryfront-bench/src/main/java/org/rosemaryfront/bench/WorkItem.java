package org.rosemaryfront.bench;

import java.util.List;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.LatencyTarget;
import org.rosemaryfront.serving.PrefixBlocks;
import org.rosemaryfront.serving.RequestSpec;

/**
 * A request of the seeded work, the same for every policy.
 *
 * @param id the request
 * @param atNanos when the caller sends it
 * @param organisation the caller's organisation
 * @param target its latency target
 * @param prompt the prompt
 * @param blocks the prompt's blocks
 * @param maxTokens the greatest length of the answer
 * @param entry chooses the entry process, as the platform's balancer does
 */
record WorkItem(RequestId id, long atNanos, String organisation, LatencyTarget target, String prompt,
		PrefixBlocks blocks, int maxTokens, int entry) {

	RequestSpec spec() {
		return new RequestSpec(this.organisation, this.target.pool(), Deployment.MODEL, this.target.priority(),
				this.blocks.tokens(), this.maxTokens, blockHashes(),
				this.atNanos + this.target.firstTokenMillis() * VirtualTime.MILLI,
				this.target.betweenTokensMillis() * VirtualTime.MILLI,
				this.atNanos + this.target.answerMillis() * VirtualTime.MILLI);
	}

	List<Long> blockHashes() {
		return this.blocks.hashes();
	}

}
