package org.rosemaryfront.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContext;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import org.rosemaryfront.http.StrictClients;

/**
 * The operators' API as a client sees it.
 *
 * <p>
 * Every call is idempotent, an apply by its transaction, so a call that got no answer is
 * repeated at the next server.
 */
final class OperatorApi {

	/** How often all servers are asked in turn. */
	private static final int ROUNDS = 3;

	/** How long to wait between two rounds, in milliseconds. */
	private static final long PAUSE_MILLIS = 500;

	/** How long a connection may take to open, in milliseconds. */
	private static final int CONNECT_MILLIS = 2_000;

	/** How long a server may be silent; a watch carries a bookmark each second. */
	private static final Duration SILENCE = Duration.ofSeconds(10);

	private static final int OK = 200;

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final List<String> servers;

	private final HttpClient client;

	private OperatorApi(List<String> servers, HttpClient client) {
		this.servers = servers;
		this.client = client;
	}

	// -- factories

	/**
	 * The API at some servers.
	 * @param servers their base URLs, in the order in which they are asked
	 * @param key the operator's key
	 * @param tls the TLS context for servers with https
	 * @return the API
	 */
	static OperatorApi of(List<String> servers, String key, SslContext tls) {
		Objects.requireNonNull(servers, "servers is null");
		Objects.requireNonNull(key, "key is null");
		HttpClient client = StrictClients.withoutReuse()
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.responseTimeout(SILENCE)
			.secure((spec) -> spec.sslContext(tls))
			.headers((headers) -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + key)
				.set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
		return new OperatorApi(servers.stream().map(OperatorApi::trimmed).toList(), client);
	}

	// -- calls

	/**
	 * Asks the servers in turn until one answers.
	 * @param path the path with its query
	 * @return the answer, which may be an error
	 * @throws CtlException with {@link ExitCode#UNREACHABLE} when none answers
	 */
	Answer get(String path) {
		return call(HttpMethod.GET, path, "");
	}

	/**
	 * Posts to the servers in turn until one answers; what is posted must be idempotent.
	 * @param path the path with its query
	 * @param body the JSON document
	 * @return the answer, which may be an error
	 * @throws CtlException with {@link ExitCode#UNREACHABLE} when none answers
	 */
	Answer post(String path, String body) {
		return call(HttpMethod.POST, path, body);
	}

	/**
	 * Asks every server once.
	 * @param path the path with its query
	 * @return the answers of those that answer
	 * @throws CtlException with {@link ExitCode#UNREACHABLE} when none answers
	 */
	List<Answer> getAll(String path) {
		List<Answer> answers = new ArrayList<>();
		List<String> failures = new ArrayList<>();
		for (String server : this.servers) {
			try {
				answers.add(callOne(server, HttpMethod.GET, path, ""));
			}
			catch (IOException ex) {
				failures.add(server + ": " + ex.getMessage());
			}
		}
		if (answers.isEmpty()) {
			throw unreachable(failures);
		}
		return answers;
	}

	/**
	 * Reads a stream of lines from one server.
	 * @param server which of the servers, counted round
	 * @param path the path with its query
	 * @return the JSON documents until the stream ends; an error of {@link CtlException}
	 * when the server answers with an error, and another one when the stream breaks
	 */
	Flux<JsonNode> stream(int server, String path) {
		String url = this.servers.get(server % this.servers.size());
		return this.client.get().uri(url + path).response((response, content) -> {
			if (response.status().code() != OK) {
				return content.aggregate()
					.asString()
					.defaultIfEmpty("")
					.map((text) -> new Answer(url, response.status().code(), parse(text)).document());
			}
			LineSplitter lines = new LineSplitter();
			return content.asByteArray().timeout(SILENCE).concatMapIterable(lines::lines).map(OperatorApi::parse);
		});
	}

	/**
	 * How many servers there are.
	 * @return at least 1
	 */
	int size() {
		return this.servers.size();
	}

	private Answer call(HttpMethod method, String path, String body) {
		List<String> failures = new ArrayList<>();
		for (int round = 0; round < ROUNDS; round++) {
			if (round > 0) {
				pause();
			}
			Answer last = null;
			failures.clear();
			for (String server : this.servers) {
				try {
					last = callOne(server, method, path, body);
					if (!last.retryable()) {
						return last;
					}
				}
				catch (IOException ex) {
					failures.add(server + ": " + ex.getMessage());
				}
			}
			if (last != null && round == ROUNDS - 1) {
				return last;
			}
		}
		throw unreachable(failures);
	}

	private Answer callOne(String server, HttpMethod method, String path, String body) throws IOException {
		try {
			return this.client.request(method)
				.uri(server + path)
				.send(Mono.fromSupplier(() -> Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
				.responseSingle((response, content) -> content.asString()
					.defaultIfEmpty("")
					.map((text) -> new Answer(server, response.status().code(), parse(text))))
				.block(SILENCE);
		}
		catch (IllegalArgumentException ex) {
			throw CtlException.of(ExitCode.WRONG_USE, server + ": not a base URL such as http://10.0.0.1:9100", ex);
		}
		catch (RuntimeException ex) {
			Throwable cause = Exceptions.unwrap(ex);
			throw new IOException((cause instanceof TimeoutException || cause.getMessage() == null) ? "no answer"
					: cause.getMessage(), cause);
		}
	}

	// -- forms

	static JsonNode parse(String text) {
		try {
			return text.isEmpty() ? MissingNode.getInstance() : MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return MissingNode.getInstance();
		}
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CtlException.of(ExitCode.FAILED, "interrupted", ex);
		}
	}

	private static String trimmed(String server) {
		return server.endsWith("/") ? server.substring(0, server.length() - 1) : server;
	}

	private static CtlException unreachable(List<String> failures) {
		return CtlException.of(ExitCode.UNREACHABLE, "no server answers: " + String.join("; ", failures));
	}

	/** Cuts a stream of bytes into lines. */
	private static final class LineSplitter {

		private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

		List<String> lines(byte[] bytes) {
			List<String> lines = new ArrayList<>();
			for (byte next : bytes) {
				if (next == '\n') {
					lines.add(this.rest.toString(StandardCharsets.UTF_8));
					this.rest.reset();
				}
				else {
					this.rest.write(next);
				}
			}
			return lines;
		}

	}

}
