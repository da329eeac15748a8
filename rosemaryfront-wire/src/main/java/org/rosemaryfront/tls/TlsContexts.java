package org.rosemaryfront.tls;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import reactor.core.Disposable;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;

import org.rosemaryfront.events.EventLog;

/**
 * The TLS contexts of a listener and of connections to listeners of its kind. The files
 * are looked at again in an interval; new connections use what they hold then, open ones
 * are left alone.
 *
 * <pre>
 * try (TlsContexts tls = TlsContexts.start(settings)) {
 *     HttpServer server = tls.secure(HttpServer.create());
 * }
 * </pre>
 */
public final class TlsContexts implements AutoCloseable {

	/** How often the files are looked at. */
	public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(1);

	private final TlsSettings settings;

	private final Disposable reloading;

	private volatile Loaded loaded;

	private volatile String lastFailure = "";

	private TlsContexts(TlsSettings settings, Duration interval) {
		this.settings = settings;
		this.loaded = load(KeyMaterial.read(settings));
		this.reloading = Schedulers.boundedElastic()
			.schedulePeriodically(this::reload, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	// -- factories

	/**
	 * Reads the files and looks at them each second.
	 * @param settings the files
	 * @return the contexts
	 * @throws TlsException when a file cannot be used
	 */
	public static TlsContexts start(TlsSettings settings) {
		return start(settings, RELOAD_INTERVAL);
	}

	/**
	 * Reads the files and looks at them in an interval.
	 * @param settings the files
	 * @param interval the interval
	 * @return the contexts
	 * @throws TlsException when a file cannot be used
	 */
	public static TlsContexts start(TlsSettings settings, Duration interval) {
		Objects.requireNonNull(settings, "settings is null");
		Objects.requireNonNull(interval, "interval is null");
		return new TlsContexts(settings, interval);
	}

	// -- contexts

	/**
	 * The context of the next connection to a listener. It presents the certificate and,
	 * when the settings have a trust, accepts only listeners that it signed. The name in
	 * the listener's certificate is not checked: processes of one system know each other
	 * by IP number, and the trust signs nobody else.
	 * @return the context
	 */
	public SslContext client() {
		return this.loaded.client();
	}

	/**
	 * Puts TLS on a listener.
	 * @param server the listener
	 * @return the listener that takes TLS connections only
	 */
	public HttpServer secure(HttpServer server) {
		return server.doOnChannelInit(
				(_, channel, _) -> channel.pipeline().addFirst("tls", server().newHandler(channel.alloc())));
	}

	/**
	 * The context of the next connection that a listener accepts. When the settings have
	 * a trust, the other side must present a certificate that it signed.
	 * @return the context
	 */
	public SslContext server() {
		return this.loaded.server();
	}

	/**
	 * Ends the reloading.
	 */
	@Override
	public void close() {
		this.reloading.dispose();
	}

	// -- reloading

	private void reload() {
		try {
			KeyMaterial material = KeyMaterial.read(this.settings);
			if (!material.sameAs(this.loaded.material())) {
				this.loaded = load(material);
				EventLog.info(TlsEvents.TLS_RELOADED, "certificate", this.settings.certificate());
			}
			this.lastFailure = "";
		}
		catch (RuntimeException ex) {
			// Files that are half written fail in every round until they are whole; one
			// line says so.
			if (!this.lastFailure.equals(ex.getMessage())) {
				this.lastFailure = String.valueOf(ex.getMessage());
				EventLog.warn(TlsEvents.TLS_RELOAD_FAILED, "cause", this.lastFailure);
			}
		}
	}

	private static Loaded load(KeyMaterial material) {
		try {
			SslContextBuilder server = SslContextBuilder.forServer(material.privateKey(), material.certificates())
				.sslProvider(SslProvider.JDK);
			SslContextBuilder client = SslContextBuilder.forClient()
				.sslProvider(SslProvider.JDK)
				.keyManager(material.privateKey(), material.certificates());
			if (material.hasTrust()) {
				server.trustManager(material.trusted()).clientAuth(ClientAuth.REQUIRE);
				client.trustManager(material.trusted()).endpointIdentificationAlgorithm(null);
			}
			return new Loaded(material, server.build(), client.build());
		}
		catch (SSLException ex) {
			throw TlsException.of("the key material cannot be used: " + ex.getMessage(), ex);
		}
	}

	/**
	 * What was read last.
	 *
	 * @param material the contents of the files
	 * @param server the context of a listener
	 * @param client the context of connections to listeners
	 */
	private record Loaded(KeyMaterial material, SslContext server, SslContext client) {
	}

}
