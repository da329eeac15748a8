package org.rosemaryfront.tls;

/**
 * Where a listener finds its TLS material, all PEM files.
 *
 * @param certificate the file of the certificate chain; empty when TLS is off
 * @param key the file of the private key, PKCS #8
 * @param trust the file of the certificates that the other side's certificate must be
 * signed by; empty when the other side needs none
 */
public record TlsSettings(String certificate, String key, String trust) {

	private static final TlsSettings NONE = new TlsSettings("", "", "");

	public TlsSettings {
		certificate = (certificate != null) ? certificate : "";
		key = (key != null) ? key : "";
		trust = (trust != null) ? trust : "";
	}

	/**
	 * Settings of a listener without TLS.
	 * @return settings that are not enabled
	 */
	public static TlsSettings none() {
		return NONE;
	}

	/**
	 * Whether TLS is on.
	 * @return true when there is a certificate
	 */
	public boolean enabled() {
		return !this.certificate.isEmpty();
	}

}
