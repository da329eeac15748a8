package org.rosemaryfront.entry;

/** How far an entry process is in its life. */
enum ProcessPhase {

	/** It takes all work. */
	SERVING,

	/** It is going to stop; the balancer does not know it yet and sends new requests. */
	LEAVING,

	/** It refuses new requests and finishes or hands over what it has. */
	DRAINING

}
