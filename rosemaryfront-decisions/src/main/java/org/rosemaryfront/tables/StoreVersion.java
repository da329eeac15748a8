package org.rosemaryfront.tables;

/**
 * Versions of the store as numbers that are ordered across its generations.
 *
 * <p>
 * A store that comes back from a copy assigns versions again, so that a version alone
 * does not name a state of the store. The generation stands in the upper bits and is
 * therefore compared first.
 *
 * <pre>
 * StoreVersion.of(1, 225) &lt; StoreVersion.of(2, 191)
 * </pre>
 */
public final class StoreVersion {

	private static final int NUMBER_BITS = 40;

	private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

	private static final long MAX_GENERATION = (1L << (Long.SIZE - 1 - NUMBER_BITS)) - 1;

	private StoreVersion() {
	}

	/**
	 * Combines a version with the generation that assigned it.
	 * @param generation the generation of the store
	 * @param number the version as the store names it
	 * @return the version, equal to the number in generation 0
	 * @throws IllegalArgumentException if one of them is negative or too large
	 */
	public static long of(long generation, long number) {
		if (generation < 0 || generation > MAX_GENERATION || number < 0 || number > MAX_NUMBER) {
			throw new IllegalArgumentException("version " + number + " of generation " + generation
					+ " is outside of 0 to " + MAX_NUMBER + " and 0 to " + MAX_GENERATION);
		}
		return (generation << NUMBER_BITS) | number;
	}

	/**
	 * Returns the generation of the store that assigned a version.
	 * @param version the version
	 * @return the generation
	 */
	public static long generation(long version) {
		return version >> NUMBER_BITS;
	}

	/**
	 * Returns whether two versions were assigned by the same generation of the store.
	 * @param version a version
	 * @param other the other version
	 * @return false if their numbers cannot be compared
	 */
	public static boolean sameGeneration(long version, long other) {
		return generation(version) == generation(other);
	}

	/**
	 * Returns a version as the store names it.
	 * @param version the version
	 * @return the number, which names no state without its generation
	 */
	public static long number(long version) {
		return version & MAX_NUMBER;
	}

	/**
	 * Formats a version for a log.
	 * @param version the version
	 * @return the number, behind its generation and a slash unless that is 0
	 */
	public static String format(long version) {
		long generation = generation(version);
		return (generation == 0) ? Long.toString(version) : generation + "/" + number(version);
	}

}
