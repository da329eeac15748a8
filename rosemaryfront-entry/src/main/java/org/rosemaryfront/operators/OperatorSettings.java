package org.rosemaryfront.operators;

import java.util.List;
import java.util.Objects;

import org.rosemaryfront.tls.TlsSettings;

/**
 * Settings of the operators' listener.
 *
 * @param host the address to listen on
 * @param port the port, 0 for one that the system chooses
 * @param keyHashes SHA-256 of each operator key, in lower case hexadecimal
 * @param tls TLS of the listener
 */
public record OperatorSettings(String host, int port, List<String> keyHashes, TlsSettings tls) {

	public OperatorSettings {
		Objects.requireNonNull(host, "host is null");
		keyHashes = List.copyOf(keyHashes);
		tls = (tls != null) ? tls : TlsSettings.none();
	}

}
