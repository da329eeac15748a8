package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The gateways that keep the origin of a stream: those that come first in an order that
 * differs from stream to stream and is the same at all gateways.
 */
public final class OriginHolders {

	private final List<Gateway> gateways;

	private OriginHolders(List<Gateway> gateways) {
		this.gateways = gateways;
	}

	/**
	 * Creates the holders among some gateways.
	 * @param known the names of all gateways that may be running
	 * @param live the names of those that were heard of late
	 * @return the holders
	 */
	public static OriginHolders of(Collection<String> known, Set<String> live) {
		return new OriginHolders(known.stream().map((name) -> Gateway.of(name, live.contains(name))).toList());
	}

	/**
	 * Returns these holders and one gateway more.
	 * @param name the name of a live gateway
	 * @return the holders
	 */
	public OriginHolders with(String name) {
		List<Gateway> more = new ArrayList<>(this.gateways);
		more.add(Gateway.of(name, true));
		return new OriginHolders(more);
	}

	/**
	 * Returns holders among the gateways that were heard of late, and others only if
	 * those are too few.
	 * @param stream the stream
	 * @param count the maximum number of holders
	 * @return the names, first holder first
	 */
	public List<String> live(StreamKey stream, int count) {
		return first(stream, count, true);
	}

	/**
	 * Returns holders among all gateways.
	 * @param stream the stream
	 * @param count the maximum number of holders
	 * @return the names, first holder first
	 */
	public List<String> known(StreamKey stream, int count) {
		return first(stream, count, false);
	}

	private List<String> first(StreamKey stream, int count, boolean liveFirst) {
		List<Placed> first = new ArrayList<>(count + 1);
		for (Gateway gateway : this.gateways) {
			insert(first, new Placed(gateway.name, liveFirst && !gateway.live, place(stream, gateway)), count);
		}
		return first.stream().map(Placed::name).toList();
	}

	private static void insert(List<Placed> first, Placed next, int count) {
		int index = first.size();
		while (index > 0 && next.isBefore(first.get(index - 1))) {
			index--;
		}
		if (index < count) {
			first.add(index, next);
		}
		if (first.size() > count) {
			first.removeLast();
		}
	}

	// Both halves of the key are spread evenly already.
	private static long place(StreamKey stream, Gateway gateway) {
		long bits = stream.low() ^ gateway.rank;
		bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
		bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
		return bits ^ (bits >>> 31);
	}

	private record Gateway(String name, long rank, boolean live) {

		private static Gateway of(String name, boolean live) {
			return new Gateway(name, Hashing.wyhashFinal4().hashCharsToLong(name), live);
		}

	}

	private record Placed(String name, boolean last, long place) {

		private boolean isBefore(Placed other) {
			return (this.last == other.last) ? Long.compareUnsigned(this.place, other.place) < 0 : other.last;
		}

	}

}
