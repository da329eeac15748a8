package org.rosemaryfront.standin.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreePortsTests {

	// Guards against a test that takes the port which a relay of another test keeps while
	// it refuses connections, and does not get back when the partition ends.
	@Test
	void shouldNotFindPortFreeWhenItIsKeptWithoutListening() throws IOException {
		int port = FreePorts.one();
		assertThat(FreePorts.isUnbound(port)).isTrue();
		try (Socket kept = new Socket()) {
			kept.setReuseAddress(true);
			kept.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			assertThat(FreePorts.isUnbound(port)).isFalse();
		}
	}

}
