package org.rosemaryfront.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against digests under which gateways of another build do not find the rows of a
 * request that crashes servers.
 */
class DigestFormTests {

	@Test
	void shouldKeepDigestWhenRequestIsTheSame() {
		RequestDigest.Builder digest = RequestDigest.begin("sfax", "POST", "a.example", "/quotes/7?x=1");
		digest.body(ByteBuffer.wrap("body".getBytes(StandardCharsets.UTF_8)));
		assertThat(digest.end()).hasToString("879c4c1b5502cdd3d17748cc61b81d16");
	}

}
