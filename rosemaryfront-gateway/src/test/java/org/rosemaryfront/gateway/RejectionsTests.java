package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.RejectionUse;
import org.rosemaryfront.limits.StatedLimit;
import org.rosemaryfront.program.ControlLoop;

import static org.assertj.core.api.Assertions.assertThat;

class RejectionsTests {

	private static final BackendServer SERVER = new BackendServer("s1", 0, "app", "v1", "127.0.0.1:1", "a", 8, false,
			false, 0);

	private static final RejectionUse REPORTED = new RejectionUse(5, 1);

	private final BackendTable servers = new BackendTable();

	// Guards against a limit that was learned from another gateway and stays for ever
	// although the server states none, and against gateways that tell it to one another
	// again and again.
	@Test
	void shouldForgetLimitOfReportWhenServerStatesNone() throws InterruptedException {
		this.servers.recordExistingRegistration(SERVER);
		this.servers.recordRejection(SERVER.incarnation(), 0);
		try (ControlLoop loop = ControlLoop.start("test", Duration.ofSeconds(1), (_) -> {
		})) {
			Rejections rejections = new Rejections(loop, this.servers);
			rejections.receive("gateway-2", SERVER.incarnation(), REPORTED, 1);
			assertThat(this.servers.ownRejections()).hasSize(1);
			rejections.stated(SERVER, "c1", StatedLimit.none());
			awaitAll(loop);
			assertThat(this.servers.ownRejections()).isEmpty();
			rejections.receive("gateway-2", SERVER.incarnation(), REPORTED, 2);
			assertThat(this.servers.ownRejections()).isEmpty();
		}
	}

	private static void awaitAll(ControlLoop loop) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		loop.post((_) -> done.countDown());
		done.await();
	}

}
