package org.rosemaryfront.limits;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * What a gateway reports of the limit of a backend server.
 *
 * @param server the run of the server
 * @param limit the limit, empty if it is not part of this report
 * @param demand the requests for the server at the sender
 * @param issuer identifies the sender as an issuer of permits for the server
 * @param permits the permits that the sender issued so far, by start of the gateway that
 * may use them
 * @param settlements what became of the permits of the sender, by their issuer
 */
public record LimitReport(Incarnation server, Optional<AgedLimit> limit, Demand demand, int issuer,
		Map<Integer, IssuedPermits> permits, Map<Integer, Settlement> settlements) {

	public LimitReport {
		Objects.requireNonNull(server, "server is null");
		Objects.requireNonNull(limit, "limit is null");
		Objects.requireNonNull(demand, "demand is null");
		permits = Map.copyOf(permits);
		settlements = Map.copyOf(settlements);
	}

	/**
	 * The limit that a server had at some time within an interval.
	 *
	 * @param perSecond the requests per second, empty if the server has no limit any more
	 * @param fromAgeMillis the age of the start of the interval, in milliseconds
	 * @param untilAgeMillis the age of its end, in milliseconds
	 */
	public record AgedLimit(OptionalDouble perSecond, long fromAgeMillis, long untilAgeMillis) {
	}

	/**
	 * The requests for a server at one gateway.
	 *
	 * @param recent the requests of the last seconds
	 * @param waiting the calls that wait for a permit now
	 */
	public record Demand(int recent, int waiting) {

		/** No requests. */
		public static final Demand NONE = new Demand(0, 0);

	}

	/**
	 * The permits that one issuer issued to a gateway.
	 *
	 * @param total the permits issued so far
	 * @param settled those of them that were used or ended unused, as far as the issuer
	 * knows
	 */
	public record IssuedPermits(long total, long settled) {
	}

	/**
	 * What became of the permits of one issuer at a gateway.
	 *
	 * @param settled the permits that were used or ended unused, so far
	 * @param unused those of them that ended unused
	 */
	public record Settlement(long settled, long unused) {
	}

}
