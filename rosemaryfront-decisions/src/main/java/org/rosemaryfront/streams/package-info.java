/**
 * The origins of streams: which version of a service made the events that a caller has of
 * a stream, so that only servers of that version go on with it.
 */
package org.rosemaryfront.streams;
