package org.rosemaryfront.peer;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.tls.TlsContexts;
import org.rosemaryfront.tls.TlsSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Frames between peers under mutual TLS.
 */
class PeerTlsTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	@TempDir
	private Path folder;

	@Test
	void shouldHandOverWhenBothAreSignedByTheTrust() throws IOException {
		try (TlsContexts tls = contexts("first"); PeerNode one = node(1, tls); PeerNode two = node(2, tls)) {
			assertThat(one.handOff(two.address(), Handoff.getDefaultInstance()).block(LIMIT).getAccepted()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldRefuseStranger(boolean strangerAsks) throws IOException {
		// A process with a certificate of another authority connects to the peer
		// listener. If it were let in, it could take over callers' requests.
		try (TlsContexts tls = contexts("first");
				TlsContexts strange = contexts("stranger");
				PeerNode ours = node(1, tls);
				PeerNode stranger = node(2, strange)) {
			PeerNode asker = strangerAsks ? stranger : ours;
			PeerNode asked = strangerAsks ? ours : stranger;
			assertThatThrownBy(() -> asker.handOff(asked.address(), Handoff.getDefaultInstance()).block(LIMIT))
				.isInstanceOf(PeerException.class);
		}
	}

	private TlsContexts contexts(String name) throws IOException {
		return TlsContexts.start(
				new TlsSettings(install(name + ".pem"), install(name + ".key"), install("authority.pem")),
				Duration.ofSeconds(1));
	}

	private String install(String name) throws IOException {
		Path target = this.folder.resolve(name);
		if (!Files.exists(target)) {
			try (InputStream in = PeerTlsTests.class.getResourceAsStream("/tls/" + name)) {
				Files.copy(in, target);
			}
		}
		return target.toString();
	}

	private static PeerNode node(int index, TlsContexts tls) {
		InMemoryPlatform platform = new InMemoryPlatform();
		PeerSettings settings = PeerSettings
			.of(new VmId("entry-" + index), "tn-north", "tunis-a", PeerSettings.ENTRY, "127.0.0.1", 0)
			.withTls(tls::server, tls::client);
		return PeerNode.start(settings, platform, platform, new Accepting());
	}

	private static final class Accepting implements PeerHandler {

		@Override
		public void configurationApplied(Configuration configuration) {
		}

		@Override
		public void departureLearned(VmId vm, long remainingMillis) {
		}

		@Override
		public Mono<HandoffReply> handoffArrived(Handoff handoff) {
			return Mono.just(HandoffReply.newBuilder().setAccepted(true).build());
		}

	}

}
