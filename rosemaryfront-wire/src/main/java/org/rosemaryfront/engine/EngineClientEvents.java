package org.rosemaryfront.engine;

import org.rosemaryfront.events.EventCode;

/** Events of the client of model engines. */
public enum EngineClientEvents implements EventCode {

	/** No connection to an engine could be made; nothing was sent. */
	ENGINE_CONNECT_FAILED(7501),

	/** The connection of a stream closed or broke before the stream's end. */
	ENGINE_STREAM_LOST(7502),

	/** No byte came on a stream within the silence limit. */
	ENGINE_STREAM_SILENT(7503),

	/** An engine refused a stream before running it. */
	ENGINE_STREAM_REFUSED(7504),

	/** An event of another attempt, or a token that came already, was dropped. */
	ENGINE_EVENT_DROPPED(7505);

	private final int number;

	EngineClientEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
