package org.rosemaryfront.tables;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * Encodes the difference between two values of a row. A large row of which little changed
 * has a short delta, which fits into a report to other gateways.
 *
 * <p>
 * A delta is a sequence of steps, each of them the length of new bytes, these bytes, and
 * the position and length of bytes to copy from the earlier value. All numbers are
 * base-128 varints.
 *
 * <pre>
 * byte[] delta = ValueDelta.between(before, after);
 * ValueDelta.apply(before, delta, ValueDelta.checksum(after)); // after
 * </pre>
 */
public final class ValueDelta {

	/** The length of the blocks by which equal parts are found. */
	private static final int BLOCK_BYTES = 32;

	/** The maximum length of a value that a delta may lead to. */
	private static final int MAX_VALUE_BYTES = 8_388_608;

	/** For how many positions the longest equal part is looked for. */
	private static final int SEARCH_BYTES = 512;

	/** A part that is equal over this length is taken at once. */
	private static final int LONG_MATCH_BYTES = 4_096;

	private static final int HASH_FACTOR = 31;

	/** {@link #HASH_FACTOR} to the power of the block length less one. */
	private static final int FIRST_BYTE_FACTOR = power(BLOCK_BYTES - 1);

	private static final int VARINT_BITS = 7;

	private static final int VARINT_MASK = 0x7f;

	private static final int MAX_VARINT_SHIFT = 28;

	private ValueDelta() {
	}

	private static int power(int exponent) {
		int result = 1;
		for (int i = 0; i < exponent; i++) {
			result *= HASH_FACTOR;
		}
		return result;
	}

	/**
	 * Returns the checksum of a value.
	 * @param value the value
	 * @return its CRC-32C
	 */
	public static int checksum(byte[] value) {
		CRC32C checksum = new CRC32C();
		checksum.update(value, 0, value.length);
		return (int) checksum.getValue();
	}

	// -- encoding

	/**
	 * Returns the difference between two values.
	 * @param before the earlier value
	 * @param after the later value
	 * @return the delta
	 */
	public static byte[] between(byte[] before, byte[] after) {
		Objects.requireNonNull(before, "before is null");
		Objects.requireNonNull(after, "after is null");
		BlockIndex index = BlockIndex.of(before);
		ByteArrayOutputStream delta = new ByteArrayOutputStream();
		int copied = 0;
		int offset = 0;
		int at = 0;
		while (at + BLOCK_BYTES <= after.length) {
			Match longest = index.find(after, at, offset, LONG_MATCH_BYTES);
			if (longest.length == 0) {
				at += SEARCH_BYTES;
				continue;
			}
			Match first = index.find(after, at, offset, BLOCK_BYTES);
			int longestStart = startOfMatch(before, longest.from, after, longest.at, copied);
			Match match = (first.at + first.length <= longestStart) ? first : longest;
			int start = startOfMatch(before, match.from, after, match.at, copied);
			offset = match.from - match.at;
			at = match.at + match.length;
			append(delta, after, copied, start, start + offset, at - start);
			copied = at;
		}
		append(delta, after, copied, after.length, 0, 0);
		return delta.toByteArray();
	}

	private static int startOfMatch(byte[] before, int from, byte[] after, int at, int copied) {
		int length = 0;
		while (at - length > copied && from - length > 0 && before[from - length - 1] == after[at - length - 1]) {
			length++;
		}
		return at - length;
	}

	private static void append(ByteArrayOutputStream delta, byte[] after, int newFrom, int newTo, int copyFrom,
			int copyBytes) {
		appendNumber(delta, newTo - newFrom);
		delta.write(after, newFrom, newTo - newFrom);
		appendNumber(delta, copyFrom);
		appendNumber(delta, copyBytes);
	}

	private static void appendNumber(ByteArrayOutputStream delta, int number) {
		int rest = number;
		while (rest > VARINT_MASK) {
			delta.write((rest & VARINT_MASK) | (VARINT_MASK + 1));
			rest >>>= VARINT_BITS;
		}
		delta.write(rest);
	}

	private static int hash(byte[] bytes, int from) {
		int hash = 0;
		for (int i = from; i < from + BLOCK_BYTES; i++) {
			hash = hash * HASH_FACTOR + bytes[i];
		}
		return hash;
	}

	private static int roll(int hash, byte[] bytes, int from) {
		return (hash - bytes[from - 1] * FIRST_BYTE_FACTOR) * HASH_FACTOR + bytes[from + BLOCK_BYTES - 1];
	}

	// -- decoding

	/**
	 * Returns the later value of a row.
	 * @param before the earlier value
	 * @param delta the difference
	 * @param checksum the checksum of the later value
	 * @return the later value
	 * @throws IllegalArgumentException if the delta is invalid or does not lead from this
	 * value to one with the checksum
	 */
	public static byte[] apply(byte[] before, byte[] delta, int checksum) {
		Objects.requireNonNull(before, "before is null");
		Reader reader = new Reader(Objects.requireNonNull(delta, "delta is null"));
		ByteArrayOutputStream after = new ByteArrayOutputStream(before.length);
		while (reader.hasMore()) {
			int newBytes = reader.number();
			after.write(delta, reader.skip(newBytes), newBytes);
			int from = reader.number();
			int length = reader.number();
			boolean valid = from <= before.length && length <= before.length - from
					&& length <= MAX_VALUE_BYTES - after.size();
			require(valid, "a delta copies bytes that are not there");
			after.write(before, from, length);
		}
		byte[] value = after.toByteArray();
		require(checksum(value) == checksum, "a delta leads to another value");
		return value;
	}

	private static void require(boolean valid, String message) {
		if (!valid) {
			throw new IllegalArgumentException(message);
		}
	}

	/** Reads the numbers of a delta. */
	private static final class Reader {

		private final byte[] delta;

		private int at;

		private Reader(byte[] delta) {
			this.delta = delta;
		}

		private boolean hasMore() {
			return this.at < this.delta.length;
		}

		private int number() {
			int number = 0;
			int shift = 0;
			int next;
			do {
				require(hasMore() && shift <= MAX_VARINT_SHIFT, "a number in a delta does not end");
				next = this.delta[this.at++];
				number |= (next & VARINT_MASK) << shift;
				shift += VARINT_BITS;
			}
			while (next < 0);
			require(number >= 0, "a number in a delta is negative");
			return number;
		}

		private int skip(int length) {
			require(length <= this.delta.length - this.at, "a delta ends within new bytes");
			int from = this.at;
			this.at += length;
			return from;
		}

	}

	/** The positions of the blocks of a value by their hashes. */
	private static final class BlockIndex {

		private static final int FREE = -1;

		private final byte[] value;

		/** Of several blocks with one hash code, the last one. */
		private final int[] positions;

		private BlockIndex(byte[] value, int[] positions) {
			this.value = value;
			this.positions = positions;
		}

		private static BlockIndex of(byte[] value) {
			int blocks = value.length / BLOCK_BYTES;
			int[] positions = new int[Integer.highestOneBit(Math.max(1, blocks)) * 4];
			Arrays.fill(positions, FREE);
			for (int block = 0; block < blocks; block++) {
				positions[slot(hash(value, block * BLOCK_BYTES), positions.length)] = block * BLOCK_BYTES;
			}
			return new BlockIndex(value, positions);
		}

		private static int slot(int hash, int slots) {
			return (hash ^ (hash >>> 16)) & (slots - 1);
		}

		// Rows of one shape have short equal parts at many places, so that the first one
		// found is often not the one that belongs there. Ends with one that is long
		// enough.
		private Match find(byte[] after, int from, int offset, int enoughBytes) {
			Match longest = new Match(from, 0, 0);
			int last = Math.min(from + SEARCH_BYTES, after.length - BLOCK_BYTES + 1);
			int hash = hash(after, from);
			for (int at = from; at < last && longest.length < enoughBytes; at++) {
				hash = (at == from) ? hash : roll(hash, after, at);
				longest = longest.longer(match(after, at, at + offset));
				longest = longest.longer(match(after, at, this.positions[slot(hash, this.positions.length)]));
			}
			return longest;
		}

		private Match match(byte[] after, int at, int from) {
			if (from < 0 || from >= this.value.length) {
				return new Match(at, 0, 0);
			}
			int mismatch = Arrays.mismatch(this.value, from, this.value.length, after, at, after.length);
			int length = (mismatch < 0) ? after.length - at : mismatch;
			return new Match(at, from, (length < BLOCK_BYTES) ? 0 : length);
		}

	}

	/**
	 * Equal parts of two values.
	 *
	 * @param at the position in the later value
	 * @param from the position in the earlier value
	 * @param length the number of equal bytes
	 */
	private record Match(int at, int from, int length) {

		private Match longer(Match other) {
			return (other.length > this.length) ? other : this;
		}

	}

}
