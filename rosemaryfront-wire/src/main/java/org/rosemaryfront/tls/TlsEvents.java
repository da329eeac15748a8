package org.rosemaryfront.tls;

import org.rosemaryfront.events.EventCode;

/** Events of TLS. */
public enum TlsEvents implements EventCode {

	/** New key material was read; new connections use it. */
	TLS_RELOADED(1101),

	/** Changed key material cannot be used; new connections use the one before. */
	TLS_RELOAD_FAILED(1102);

	private final int number;

	TlsEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
