package org.rosemaryfront.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RequestDigestTests {

	@Test
	void shouldBeEqualWhenBodyArrivesInPieces() {
		RequestDigest whole = digest("sfax", "POST", "a.example", "/quotes/7?x=1", "a long history");
		RequestDigest.Builder pieces = RequestDigest.begin("sfax", "POST", "a.example", "/quotes/7?x=1");
		pieces.body(bytes("a long"));
		pieces.body(bytes(""));
		pieces.body(bytes(" history"));
		assertThat(pieces.end()).isEqualTo(whole);
	}

	// Requests differ if their callers differ, or if only the concatenation of their
	// fields is equal.
	@ParameterizedTest
	@CsvSource({ "tunis, POST, a.example, /quotes/7, body", "sfax, PUT, a.example, /quotes/7, body",
			"sfax, POST, b.example, /quotes/7, body", "sfax, POST, a.example, /quotes/7?x, body",
			"sfax, POST, a.example, /quotes/7, bodY", "sfa, xPOST, a.example, /quotes/7, body",
			"sfax, POST, a.example, /quotes/, 7body" })
	void shouldDifferWhenAnyFieldDiffers(String organisation, String method, String host, String target, String body) {
		assertThat(digest(organisation, method, host, target, body))
			.isNotEqualTo(digest("sfax", "POST", "a.example", "/quotes/7", "body"));
	}

	@Test
	void shouldRoundTripThroughBytesAndText() {
		RequestDigest digest = digest("sfax", "GET", "a.example", "/", "");
		assertThat(RequestDigest.of(digest.bytes())).isEqualTo(digest);
		assertThat(RequestDigest.parse(digest.toString())).isEqualTo(digest);
	}

	@ParameterizedTest
	@CsvSource({ "''", "00", "zz", "000000000000000000000000000000000000" })
	void shouldRejectInvalidDigest(String text) {
		assertThatThrownBy(() -> RequestDigest.parse(text)).isInstanceOf(IllegalArgumentException.class);
	}

	private static RequestDigest digest(String organisation, String method, String host, String target, String body) {
		RequestDigest.Builder digest = RequestDigest.begin(organisation, method, host, target);
		digest.body(bytes(body));
		return digest.end();
	}

	private static ByteBuffer bytes(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
	}

}
