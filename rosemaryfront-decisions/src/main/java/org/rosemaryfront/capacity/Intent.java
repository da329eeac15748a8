package org.rosemaryfront.capacity;

import java.util.Objects;

/**
 * A purchase that is written to the table service before the cloud is asked, so that a
 * successor can end it.
 *
 * @param token names the purchase towards the cloud, which sells once for each token
 * @param pool the name of the pool
 * @param sort what is bought
 */
public record Intent(String token, String pool, OfferKey sort) {

	public Intent {
		Objects.requireNonNull(token, "token is null");
		Objects.requireNonNull(pool, "pool is null");
		Objects.requireNonNull(sort, "sort is null");
	}

}
