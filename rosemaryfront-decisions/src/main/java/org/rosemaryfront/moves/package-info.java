/**
 * Decides which streams of a leaving server move to another one together with their KV
 * cache entries, and keeps track of the moves.
 */
package org.rosemaryfront.moves;
