package org.rosemaryfront.entry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerDirectoryTests {

	private final List<String> told = new ArrayList<>();

	private final ServerDirectory directory = new ServerDirectory(new VmId("entry-1"), new Told());

	/**
	 * The platform gives notice of an entry's own VM, and that entry is the first to read
	 * it. It took itself for a backend server, served on, and what it held was lost with
	 * the VM: callers who came back read 404. The VM list and peers may tell the same.
	 */
	@Test
	void shouldTellOwnReclaimWhoeverSaysSo() {
		this.directory.listed(List.of(listed("entry-1", true), listed("entry-2", true)));
		this.directory.left(new VmId("entry-1"), LeavingSource.RECLAIM_NOTICE, 8_000);
		this.directory.left(new VmId("entry-1"), LeavingSource.PEER, 7_000);
		assertThat(this.told).containsExactly("reclaimed -1", "reclaimed 8000", "reclaimed 7000");
	}

	@Test
	void shouldTellOnceThatBackendServerIsLeaving() {
		this.directory.left(new VmId("vm-1"), LeavingSource.RECLAIM_NOTICE, 8_000);
		this.directory.left(new VmId("vm-1"), LeavingSource.PEER, 7_000);
		assertThat(this.told).containsExactly("vm-1 leaving 8000");
	}

	private static Listed listed(String vm, boolean leaving) {
		return new Listed(new VmId(vm), "entry", "", "tunis-a", "127.0.0.1:1", leaving);
	}

	private final class Told implements ServerDirectory.Listener {

		@Override
		public void post(ServingEvent event) {
			ServerDirectoryTests.this.told.add(event.toString());
		}

		@Override
		public void leaving(VmId vm, LeavingSource source, long remainingMillis) {
			ServerDirectoryTests.this.told.add(vm + " leaving " + remainingMillis);
		}

		@Override
		public void reclaimed(long remainingMillis) {
			ServerDirectoryTests.this.told.add("reclaimed " + remainingMillis);
		}

	}

}
