package org.rosemaryfront.controller;

import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.engine.EngineClientSettings;
import org.rosemaryfront.engine.HttpEngineClient;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.PeerHandler;
import org.rosemaryfront.peer.PeerNode;
import org.rosemaryfront.peer.PeerSettings;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.program.Program;
import org.rosemaryfront.tls.TlsContexts;
import org.rosemaryfront.tls.TlsSettings;

/**
 * The program {@code rosemaryfront-controller}: one runs on every entry VM, and the one
 * that holds the lease keeps the backend servers as declared.
 */
public final class ControllerProgram implements Program.Running {

	private static final int ENGINE_CONNECT_MILLIS = 1_000;

	private static final int ENGINE_SILENCE_MILLIS = 2_000;

	private final HttpPlatform platform;

	private final EngineClient engines;

	private final Controller controller;

	private final PeerNode peers;

	private final StatusServer status;

	private final Optional<TlsContexts> peerTls;

	private final Optional<TlsContexts> statusTls;

	private ControllerProgram(ControllerSettings settings) {
		this.peerTls = tls(settings.peers().tls());
		this.statusTls = tls(settings.status().tls());
		this.platform = HttpPlatform.of(settings.platform());
		this.engines = HttpEngineClient.of(new EngineClientSettings(ENGINE_CONNECT_MILLIS, ENGINE_SILENCE_MILLIS));
		AtomicReference<PeerNode> node = new AtomicReference<>();
		BiConsumer<VmId, Long> announce = (vm, remainingMillis) -> {
			PeerNode known = node.get();
			if (known != null) {
				known.announceDeparture(vm, remainingMillis);
			}
		};
		this.controller = Controller.start(new ControllerParts(settings, this.platform, this.platform, this.engines,
				announce, () -> controllers(node.get())), new SecureRandom().nextLong());
		PeerSettings member = PeerSettings.of(new VmId(settings.vm()), settings.region(), settings.zone(),
				PeerSettings.CONTROLLER, settings.peers().host(), settings.peers().port());
		this.peers = PeerNode.start(this.peerTls.map((tls) -> member.withTls(tls::server, tls::client)).orElse(member),
				this.platform, this.platform, handler(this.controller));
		node.set(this.peers);
		this.status = StatusServer.start(settings.status(),
				(listener) -> this.statusTls.map((tls) -> tls.secure(listener)).orElse(listener), this.controller,
				this.peers::fresh);
	}

	static ControllerProgram start(ControllerSettings settings) {
		return new ControllerProgram(settings);
	}

	private static Optional<TlsContexts> tls(TlsSettings settings) {
		return settings.enabled() ? Optional.of(TlsContexts.start(settings)) : Optional.empty();
	}

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		Program.run("rosemaryfront-controller", args, "/schema/controller.json", ControllerSettings.class,
				ControllerProgram::start);
	}

	private static int controllers(PeerNode node) {
		return (node != null) ? (int) node.members()
			.stream()
			.filter((member) -> member.role().equals(PeerSettings.CONTROLLER))
			.count() : 1;
	}

	private static PeerHandler handler(Controller controller) {
		return new PeerHandler() {

			@Override
			public void configurationApplied(Configuration configuration) {
				controller.configurationApplied(configuration);
			}

			@Override
			public void departureLearned(VmId vm, long remainingMillis) {
				controller.leavingLearned(vm);
			}

		};
	}

	@Override
	public Map<String, String> listeners() {
		return Map.of("peers", this.peers.address(), "status", this.status.address());
	}

	@Override
	public void close() {
		this.controller.close();
		this.peers.close();
		this.status.close();
		this.peerTls.ifPresent(TlsContexts::close);
		this.statusTls.ifPresent(TlsContexts::close);
		this.engines.close();
		this.platform.close();
	}

}
