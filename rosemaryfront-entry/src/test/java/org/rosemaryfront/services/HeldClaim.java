package org.rosemaryfront.services;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.rosemaryfront.claims.ClaimRow;
import org.rosemaryfront.platform.TableClient;

/** Claims that an entry left behind, for a booking of {@code federation}. */
public final class HeldClaim {

	private static final long HELD_MILLIS = 20_000;

	private HeldClaim() {
	}

	/**
	 * Writes a claim as an entry does before it runs {@code POST /bookings}.
	 * @param tables the table service
	 * @param holder the VM of the entry
	 * @param key the idempotency key
	 * @param body the body of the call
	 */
	public static void write(TableClient tables, String holder, String key, String body) {
		ServiceCall call = new ServiceCall("lost", "federation", "booking", HttpMethod.POST, "/bookings",
				new DefaultHttpHeaders(), body.getBytes(StandardCharsets.UTF_8));
		ClaimRow held = new ClaimRow.Held("lost", holder, call.fingerprint(), HELD_MILLIS);
		TableClient.Write claim = new TableClient.Write(ClaimWriter.TABLE, call.claimKey(key),
				Optional.of(ClaimCodec.write(held)));
		tables.commit(new TableClient.Transaction(List.of(), List.of(claim))).block(Duration.ofSeconds(20));
	}

}
