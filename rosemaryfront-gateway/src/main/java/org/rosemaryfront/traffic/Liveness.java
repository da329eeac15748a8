package org.rosemaryfront.traffic;

/** What an attempt to connect showed about a server. */
public enum Liveness {

	/**
	 * The server accepted a connection, over the own links or those of another gateway.
	 */
	ALIVE,

	/** No gateway that was asked reached the server, while the own links work. */
	DOWN,

	/** The own links may have failed, and no other gateway could be asked. */
	UNKNOWN

}
