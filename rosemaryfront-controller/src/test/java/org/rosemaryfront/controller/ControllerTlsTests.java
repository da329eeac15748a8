package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.http.client.HttpClient;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.PeerException;
import org.rosemaryfront.peer.PeerHandler;
import org.rosemaryfront.peer.PeerNode;
import org.rosemaryfront.peer.PeerSettings;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.standin.platform.PlatformServer;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;
import org.rosemaryfront.tls.TlsContexts;
import org.rosemaryfront.tls.TlsSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The listeners of a controller under mutual TLS. With plain ones anybody in the network
 * could read the state of the deployment and pass for a peer.
 */
class ControllerTlsTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final String FOLDER = "../rosemaryfront-wire/src/test/resources/tls/";

	private final TlsSettings files = new TlsSettings(FOLDER + "first.pem", FOLDER + "first.key",
			FOLDER + "authority.pem");

	private final PlatformServer standin = PlatformServer.start(StandinPlatformSettings.standard());

	private final HttpPlatform platform = HttpPlatform.of(new PlatformSettings(this.standin.url(), 0));

	private final TlsContexts tls = TlsContexts.start(this.files);

	private ControllerProgram controller;

	@BeforeEach
	void startController() {
		ControllerSettings.Listener listener = new ControllerSettings.Listener("127.0.0.1", 0, this.files);
		this.controller = ControllerProgram.start(new ControllerSettings("entry-1", "tn-north", "tunis-a",
				new PlatformSettings(this.standin.url(), 0), listener, listener, null, null));
	}

	@AfterEach
	void stopController() {
		this.controller.close();
		this.tls.close();
		this.platform.close();
		this.standin.close();
	}

	@Test
	void shouldServeStatusOverTlsOnly() {
		String address = this.controller.listeners().get("status");
		HttpClient plain = HttpClient.newConnection().responseTimeout(LIMIT);
		int status = plain.secure((spec) -> spec.sslContext(this.tls.client()))
			.get()
			.uri("https://" + address + "/healthz")
			.response()
			.map((response) -> response.status().code())
			.block(LIMIT);
		assertThat(status).isEqualTo(200);
		assertThatThrownBy(() -> plain.get().uri("http://" + address + "/healthz").response().block(LIMIT)).isNotNull();
	}

	@Test
	void shouldAnswerPeersOverTlsOnly() {
		assertThat(ask(Optional.of(this.tls))).isEqualTo("takes no requests");
		assertThatThrownBy(() -> ask(Optional.empty())).isInstanceOf(PeerException.class);
	}

	private String ask(Optional<TlsContexts> contexts) {
		PeerSettings plain = PeerSettings.of(new VmId("entry-2"), "tn-north", "tunis-a", PeerSettings.ENTRY,
				"127.0.0.1", 0);
		PeerSettings settings = contexts.map((own) -> plain.withTls(own::server, own::client)).orElse(plain);
		try (PeerNode peer = PeerNode.start(settings, this.platform, this.platform, new SilentHandler())) {
			return peer.handOff(this.controller.listeners().get("peers"), Handoff.getDefaultInstance())
				.block(LIMIT)
				.getReason();
		}
	}

	private static final class SilentHandler implements PeerHandler {

		@Override
		public void configurationApplied(Configuration configuration) {
		}

		@Override
		public void departureLearned(VmId vm, long remainingMillis) {
		}

	}

}
