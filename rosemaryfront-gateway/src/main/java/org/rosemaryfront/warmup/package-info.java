/**
 * Calls that a gateway sends through itself before callers come, so that its code is
 * loaded and compiled by then.
 */
package org.rosemaryfront.warmup;
