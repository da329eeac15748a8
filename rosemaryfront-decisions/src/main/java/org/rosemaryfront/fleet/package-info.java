/**
 * The gateways that serve together: who lives, who hears whom, and who does what for all.
 */
package org.rosemaryfront.fleet;
