/**
 * The gateways that serve together: which are live, which receive reports from which
 * others, and which read tables for all.
 */
package org.rosemaryfront.fleet;
