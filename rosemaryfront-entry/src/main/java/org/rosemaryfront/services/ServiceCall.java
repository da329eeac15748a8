package org.rosemaryfront.services;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.rosemaryfront.keys.Sha256;
import org.rosemaryfront.model.Resource;

/**
 * A call to a plain service as it is passed on.
 *
 * @param id the identifier that the answer carries
 * @param organisation the organisation that calls
 * @param pool the name of the pool
 * @param method the HTTP method
 * @param path the path with its query, beginning with a slash
 * @param headers the headers passed on
 * @param body the whole body
 */
record ServiceCall(String id, String organisation, String pool, HttpMethod method, String path, HttpHeaders headers,
		byte[] body) {

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

	/**
	 * Headers that belong to one connection (RFC 9110, section 7.6.1), and the ones that
	 * this side sets itself. The organisation's key stays here: a backend server that
	 * read it could call in the organisation's name.
	 */
	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "host", "expect", "authorization", "cookie");

	ServiceCall {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(body, "body is null");
	}

	/**
	 * Whether running the call twice does what running it once does.
	 * @param service the pool that it goes to
	 * @return true when it may be sent again
	 */
	boolean idempotent(Resource.Pool service) {
		return IDEMPOTENT_METHODS.contains(this.method.name())
				|| service.idempotentPaths().stream().anyMatch((prefix) -> this.path.startsWith(slashed(prefix)));
	}

	/**
	 * What another call under the same idempotency key must share.
	 * @return the SHA-256 in hexadecimal of method, path, content type and body
	 */
	String fingerprint() {
		MessageDigest digest = Sha256.digest();
		String type = Objects.requireNonNullElse(this.headers.get("Content-Type"), "");
		String head = this.method.name() + "\n" + this.path + "\n" + type + "\n";
		digest.update(head.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(this.body));
	}

	/**
	 * The key of the claim's row.
	 * @param idempotencyKey the caller's key
	 * @return organisation, pool and the hash of the key
	 */
	String claimKey(String idempotencyKey) {
		return this.organisation + "/" + this.pool + "/" + Sha256.hex(idempotencyKey);
	}

	/**
	 * The headers of a message without those that belong to one connection.
	 * @param headers the headers received
	 * @return the headers to pass on
	 */
	static HttpHeaders passedOn(HttpHeaders headers) {
		HttpHeaders passed = new DefaultHttpHeaders();
		Set<String> named = connectionTokens(headers);
		headers.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!NOT_PASSED_ON.contains(name) && !named.contains(name)) {
				passed.add(header.getKey(), header.getValue());
			}
		});
		return passed;
	}

	/**
	 * A path that begins with a slash.
	 * @param path a path
	 * @return the path
	 */
	static String slashed(String path) {
		return path.startsWith("/") ? path : "/" + path;
	}

	private static Set<String> connectionTokens(HttpHeaders headers) {
		return headers.getAll("Connection")
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((token) -> token.trim().toLowerCase(Locale.ROOT))
			.collect(Collectors.toSet());
	}

}
