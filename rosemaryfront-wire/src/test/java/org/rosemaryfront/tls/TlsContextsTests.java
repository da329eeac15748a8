package org.rosemaryfront.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import javax.net.ssl.SSLPeerUnverifiedException;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.ConnectionProvider;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * TLS contexts over real connections.
 */
class TlsContextsTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final Duration INTERVAL = Duration.ofMillis(20);

	@TempDir
	private Path folder;

	private TlsSettings settings;

	@BeforeEach
	void copyFirst() throws IOException {
		install("first.pem", "server.pem");
		install("first.key", "server.key");
		install("authority.pem", "authority.pem");
		this.settings = new TlsSettings(path("server.pem"), path("server.key"), path("authority.pem"));
	}

	@Test
	void shouldServeWhenBothSidesAreSignedByTheTrust() {
		try (TlsContexts tls = TlsContexts.start(this.settings, INTERVAL)) {
			DisposableServer server = serve(tls);
			assertThat(commonName(server, tls.client())).isEqualTo("CN=first");
			server.disposeNow();
		}
	}

	@Test
	void shouldRefuseWhenTheClientIsSignedBySomebodyElse() throws IOException {
		install("stranger.pem", "stranger.pem");
		install("stranger.key", "stranger.key");
		TlsSettings stranger = new TlsSettings(path("stranger.pem"), path("stranger.key"), path("authority.pem"));
		try (TlsContexts tls = TlsContexts.start(this.settings, INTERVAL);
				TlsContexts strange = TlsContexts.start(stranger, INTERVAL)) {
			DisposableServer server = serve(tls);
			assertThatThrownBy(() -> commonName(server, strange.client())).isInstanceOf(RuntimeException.class);
			DisposableServer strangeServer = serve(strange);
			assertThatThrownBy(() -> commonName(strangeServer, tls.client())).isInstanceOf(RuntimeException.class);
			assertThat(commonName(server, tls.client())).isEqualTo("CN=first");
			server.disposeNow();
			strangeServer.disposeNow();
		}
	}

	/*
	 * An operator renews a certificate by replacing its two files one after the other.
	 * Between the two the certificate and the key do not fit; a listener that took them
	 * would fail every handshake. It must keep the old pair until the new one is whole.
	 */
	@Test
	void shouldKeepTheOldPairUntilTheNewOneIsWhole() throws Exception {
		try (TlsContexts tls = TlsContexts.start(this.settings, INTERVAL)) {
			DisposableServer server = serve(tls);
			install("second.pem", "server.pem");
			Thread.sleep(INTERVAL.multipliedBy(5));
			assertThat(commonName(server, tls.client())).isEqualTo("CN=first");
			install("second.key", "server.key");
			long end = System.nanoTime() + LIMIT.toNanos();
			String name = "";
			while (!name.equals("CN=second") && System.nanoTime() < end) {
				name = commonName(server, tls.client());
			}
			assertThat(name).isEqualTo("CN=second");
			server.disposeNow();
		}
	}

	@ParameterizedTest
	@CsvSource({ "second.key, does not fit", "authority.pem, PKCS #8" })
	void shouldNameTheFileWhenTheKeyCannotBeUsed(String source, String reason) throws IOException {
		install(source, "server.key");
		assertThatThrownBy(() -> TlsContexts.start(this.settings)).isInstanceOf(TlsException.class)
			.hasMessageContaining("server.key")
			.hasMessageContaining(reason);
	}

	private static DisposableServer serve(TlsContexts tls) {
		return tls
			.secure(HttpServer.create()
				.host("127.0.0.1")
				.port(0)
				.handle((_, response) -> response.sendString(Mono.just("whole"))))
			.bindNow();
	}

	private static String commonName(DisposableServer server, SslContext client) {
		AtomicReference<String> name = new AtomicReference<>("");
		String body = HttpClient.create(ConnectionProvider.newConnection())
			.secure((spec) -> spec.sslContext(client))
			.doOnResponse((_, connection) -> name.set(subject(connection.channel().pipeline().get(SslHandler.class))))
			.get()
			.uri("https://127.0.0.1:" + server.port() + "/")
			.responseContent()
			.aggregate()
			.asString()
			.block(LIMIT);
		assertThat(body).isEqualTo("whole");
		return name.get();
	}

	private static String subject(SslHandler handler) {
		try {
			return ((X509Certificate) handler.engine().getSession().getPeerCertificates()[0]).getSubjectX500Principal()
				.getName();
		}
		catch (SSLPeerUnverifiedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void install(String resource, String name) throws IOException {
		Files.copy(Path.of("src/test/resources/tls", resource), this.folder.resolve(name),
				StandardCopyOption.REPLACE_EXISTING);
	}

	private String path(String name) {
		return this.folder.resolve(name).toString();
	}

}
