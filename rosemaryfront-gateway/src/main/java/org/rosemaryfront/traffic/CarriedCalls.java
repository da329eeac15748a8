package org.rosemaryfront.traffic;

import java.util.HashSet;
import java.util.Set;

/**
 * The calls that a connection to a backend server has carried, by which its responses are
 * matched with the current one.
 *
 * <p>
 * A server may answer a call again at any later time. A response therefore belongs to the
 * current call only if it names it and no earlier call had the same name, or if there was
 * no earlier call.
 */
final class CarriedCalls {

	/**
	 * The maximum number of calls of one connection, which bounds what is kept of them.
	 */
	private static final int MAX_CALLS = 512;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	/** The hashes of the identifiers; equal ones only cost a connection. */
	private final Set<Long> identifiers = new HashSet<>();

	private int count;

	private String current = "";

	/** Whether all calls and their responses had names. */
	private boolean named = true;

	private CarriedCalls() {
	}

	/**
	 * Creates the calls of a new connection.
	 * @return the calls, none so far
	 */
	static CarriedCalls none() {
		return new CarriedCalls();
	}

	/**
	 * Returns whether a response to a call could be told from those to earlier ones.
	 * @param requestId the identifier of the call, empty if it has none
	 * @return whether the connection may carry the call
	 */
	boolean mayCarry(String requestId) {
		return this.count == 0
				|| (mayCarryMore() && !requestId.isEmpty() && !this.identifiers.contains(hash(requestId)));
	}

	/**
	 * Begins a call.
	 * @param requestId the identifier of the call, empty if it has none
	 */
	void begin(String requestId) {
		this.count++;
		this.current = requestId;
		this.named &= !requestId.isEmpty();
		this.identifiers.add(hash(requestId));
	}

	/**
	 * Returns whether a response belongs to the current call.
	 * @param requestId the call that the response names, empty if it names none
	 * @return false for another call and for a response that may be that to another call
	 */
	boolean isCurrent(String requestId) {
		return requestId.isEmpty() ? this.count == 1 : requestId.equals(this.current);
	}

	/**
	 * Records a response to the current call.
	 * @param requestId the call that the response names, empty if it names none
	 */
	void answered(String requestId) {
		this.named &= !requestId.isEmpty();
	}

	/**
	 * Returns whether the connection may carry any further call.
	 * @return false once responses cannot be told apart
	 */
	boolean mayCarryMore() {
		return this.named && this.count < MAX_CALLS;
	}

	int count() {
		return this.count;
	}

	/**
	 * Returns the identifier of the current or last call.
	 * @return the identifier, empty if it has none or there was no call
	 */
	String current() {
		return this.current;
	}

	private static long hash(String text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return hash;
	}

}
