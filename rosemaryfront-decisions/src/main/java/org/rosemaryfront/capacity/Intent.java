package org.rosemaryfront.capacity;

import java.util.Objects;

/**
 * A purchase that is written to the table service before the cloud is asked for the VM,
 * so that the next lease holder can complete it.
 *
 * @param token identifies the purchase to the cloud, which sells one VM for each token
 * @param pool the name of the pool
 * @param sort the VM type
 */
public record Intent(String token, String pool, OfferKey sort) {

	public Intent {
		Objects.requireNonNull(token, "token is null");
		Objects.requireNonNull(pool, "pool is null");
		Objects.requireNonNull(sort, "sort is null");
	}

}
