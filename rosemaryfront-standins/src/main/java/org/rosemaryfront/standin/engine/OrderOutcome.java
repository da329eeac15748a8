package org.rosemaryfront.standin.engine;

/** What became of an order to an engine. */
public enum OrderOutcome {

	/** The engine works towards it. */
	TAKEN,

	/** Its fencing number is older than that of the last order taken. */
	FENCED,

	/** It is past its validity. */
	EXPIRED

}
