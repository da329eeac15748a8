package org.rosemaryfront.ports;

import java.util.Map;

import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.Size;

/**
 * The calls to the platform that only one process at a time may make.
 */
public interface Duties {

	/**
	 * Reports the use of one window; an exact repeat is harmless.
	 * @param fence the fencing number of the lease
	 * @param window the number of the window
	 * @param counts the calls that began to run, by organisation
	 * @return when the platform took it; an error of {@link StoreException}
	 */
	Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts);

	/**
	 * Sets how many backend servers of one sort run in an availability zone.
	 * @param fence the fencing number of the lease
	 * @param order the size
	 * @return when the platform took it; an error of {@link StoreException}
	 */
	Mono<Void> resize(long fence, Size order);

}
