package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventScannerTests {

	// Guards against an end of an event that is found at the wrong byte: the first half
	// of
	// an event would pass as a whole one, or a whole one as broken off.
	@ParameterizedTest
	@ValueSource(strings = { "\n", "\r\n", "\r" })
	void shouldFindEndsOfEventsWithAnyLineEnd(String lineEnd) {
		List<String> events = List.of("\uFEFFid: 1|data: one||", "event: x|data: a|data: b||", ": comment|id: 3|data||")
			.stream()
			.map((event) -> event.replace("|", lineEnd))
			.toList();
		assertThat(ends(String.join("", events))).containsExactlyElementsOf(expectedEnds(events));
	}

	// Guards against a stream cut between a carriage return and its line feed.
	@Test
	void shouldAwaitLineFeedWhenOtherLinesEndWithOne() {
		assertThat(openBytes("data: a\r\n\r")).isPositive();
		assertThat(openBytes("data: a\r\n\r\n")).isZero();
		assertThat(openBytes("data: a\n\r")).isPositive();
		assertThat(openBytes("data: a\r\r")).isZero();
	}

	@Test
	void shouldNotTakeCommentsAndEmptyLinesForEvents() {
		assertThat(openBytes(": keep-alive\n")).isZero();
		assertThat(openBytes(": keep-al")).isPositive();
		assertThat(openBytes("data: a\n\n\n\n")).isZero();
		assertThat(openBytes("data: a\n: more\n")).isPositive();
		assertThat(scan(": keep-alive\n\n\n").count()).isZero();
		assertThat(scan("data: a\n\ndata: b\n\n").count()).isEqualTo(2);
	}

	// Guards against events that are lost, doubled or forwarded in part where the bytes
	// of a stream arrive in other pieces than its events.
	@ParameterizedTest
	@ValueSource(strings = { "\n", "\r\n", "\r" })
	void shouldForwardWholeEventsOnlyWhenBytesArriveInAnyPieces(String lineEnd) {
		Random random = new Random(7);
		List<String> events = new ArrayList<>();
		for (int i = 1; i <= 5; i++) {
			events.add("id: " + i + lineEnd + "data: " + "x".repeat(i) + lineEnd + lineEnd);
		}
		String stream = String.join("", events);
		Set<Integer> ends = new HashSet<>(expectedEnds(events));
		for (int cut = 0; cut <= stream.length(); cut++) {
			for (int round = 0; round < 20; round++) {
				assertForwarded(stream, cut, ends, random);
			}
		}
	}

	private static void assertForwarded(String stream, int cut, Set<Integer> ends, Random random) {
		EventFramer framer = new EventFramer(UnpooledByteBufAllocator.DEFAULT);
		ReceivedBody body = ReceivedBody.of(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK), true,
				true);
		StringBuilder forwarded = new StringBuilder();
		for (int from = 0; from < cut;) {
			int until = Math.min(cut, from + 1 + random.nextInt(9));
			ByteBuf piece = Unpooled.copiedBuffer(stream.substring(from, until), StandardCharsets.UTF_8);
			framer.add(piece, body.add(piece));
			framer.takeComplete().ifPresent((events) -> {
				forwarded.append(events.toString(StandardCharsets.UTF_8));
				events.release();
			});
			from = until;
		}
		int whole = ends.stream().filter((end) -> end <= cut).mapToInt(Integer::intValue).max().orElse(0);
		assertThat(forwarded.toString()).isEqualTo(stream.substring(0, whole));
		assertThat(body.isBrokenOff()).isEqualTo(whole != cut || cut == 0);
		long count = ends.stream().filter((end) -> end <= cut).count();
		assertThat(framer.lastId().orElse("0")).isEqualTo(String.valueOf(count));
		framer.release();
	}

	private static List<Integer> expectedEnds(List<String> events) {
		List<Integer> ends = new ArrayList<>();
		int end = 0;
		for (String event : events) {
			end += event.getBytes(StandardCharsets.UTF_8).length;
			ends.add(end);
		}
		return ends;
	}

	// The numbers of bytes behind which an event is complete that was not before.
	private static List<Integer> ends(String stream) {
		EventScanner scanner = new EventScanner();
		byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
		List<Integer> ends = new ArrayList<>();
		for (int i = 0; i < bytes.length; i++) {
			if (scanner.accept(bytes[i]) && scanner.count() > ends.size()) {
				ends.add(i + 1);
			}
		}
		return ends;
	}

	private static long openBytes(String stream) {
		return scan(stream).openBytes();
	}

	private static EventScanner scan(String stream) {
		EventScanner scanner = new EventScanner();
		for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
			scanner.accept(next);
		}
		return scanner;
	}

}
