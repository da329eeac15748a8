/**
 * Requests under which backend servers crash: which request it is whoever sends it, what
 * speaks for and against it, and when it is held back.
 */
package org.rosemaryfront.crashes;
