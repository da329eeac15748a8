package org.rosemaryfront.ports;

import java.util.Map;

import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.PoolSize;

/** The platform calls that only the gateway holding the lease may make. */
public interface Duties {

	/**
	 * Reports the usage of one accounting window. Repeating an identical report has no
	 * effect.
	 * @param fence the fencing number of the lease
	 * @param window the number of the window
	 * @param counts the number of calls that started to run, by organisation
	 * @return completes when the platform has accepted the report; fails with a
	 * {@link StoreException}
	 */
	Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts);

	/**
	 * Sets the number of backend servers of one type in an availability zone.
	 * @param fence the fencing number of the lease
	 * @param size the service, zone and number of servers
	 * @return completes when the platform has accepted the size; fails with a
	 * {@link StoreException}
	 */
	Mono<Void> resize(long fence, PoolSize size);

}
