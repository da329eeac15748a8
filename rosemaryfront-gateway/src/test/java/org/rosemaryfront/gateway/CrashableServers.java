package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;

/** Backend servers that crash under some requests and are replaced. */
final class CrashableServers implements AutoCloseable {

	static final int COUNT = 4;

	private final MemoryRowStore store;

	private final Predicate<Request> harmful;

	private final List<ScriptedServer> all = new ArrayList<>();

	private final List<String> running = new ArrayList<>();

	/** Crashed servers that stay registered until they are replaced. */
	private final List<String> crashed = new ArrayList<>();

	private volatile boolean crashing = true;

	private volatile boolean simultaneously;

	/** What a server sends under a harmful request before it crashes. */
	private volatile String lastBytes = "";

	private int crashes;

	private CrashableServers(MemoryRowStore store, Predicate<Request> harmful) {
		this.store = store;
		this.harmful = harmful;
	}

	/**
	 * Creates servers that are not started yet.
	 * @param store the store in which they register
	 * @param harmful tests whether a request crashes its server
	 * @return the servers
	 */
	static CrashableServers of(MemoryRowStore store, Predicate<Request> harmful) {
		return new CrashableServers(store, harmful);
	}

	/** Starts servers until {@link #COUNT} are running. */
	synchronized void fill() {
		deregisterCrashed();
		while (this.running.size() < COUNT) {
			String id = "s" + this.all.size();
			ScriptedServer[] self = new ScriptedServer[1];
			self[0] = ScriptedServer.start((request, exchange) -> answer(id, self[0], request, exchange));
			this.all.add(self[0]);
			this.running.add(id);
			this.store.put(GatewayHarness.SERVERS, id, "app " + self[0].address() + " ready");
		}
	}

	private void answer(String id, ScriptedServer self, Request request, Exchange exchange) throws IOException {
		if (!this.crashing || !this.harmful.test(request)) {
			exchange.ok(request, "data: good\n\n");
			return;
		}
		if (this.simultaneously) {
			GatewayHarness.await(() -> copiesSent() >= COUNT);
		}
		exchange.write(this.lastBytes.replace("CALL", request.call()));
		crash(id, self);
	}

	/** Makes the servers crash only after each of them has received the request. */
	void crashSimultaneously() {
		this.simultaneously = true;
	}

	/**
	 * Makes the servers crash in the middle of a response.
	 * @param bytes what they send before, with {@code CALL} for the id of the call
	 */
	void crashAfter(String bytes) {
		this.lastBytes = bytes;
	}

	synchronized void deregisterCrashed() {
		this.crashed.forEach((id) -> this.store.remove(GatewayHarness.SERVERS, id));
		this.crashed.clear();
	}

	void repair() {
		this.crashing = false;
	}

	private synchronized void crash(String id, ScriptedServer server) {
		this.running.remove(id);
		this.crashed.add(id);
		this.crashes++;
		server.close();
	}

	synchronized List<String> registered() {
		return List.copyOf(this.running);
	}

	synchronized int crashes() {
		return this.crashes;
	}

	/**
	 * Returns how many harmful requests the servers received.
	 * @return the number
	 */
	synchronized int copiesSent() {
		return (int) this.all.stream().flatMap((server) -> server.requests().stream()).filter(this.harmful).count();
	}

	@Override
	public synchronized void close() {
		this.all.forEach(ScriptedServer::close);
	}

}
