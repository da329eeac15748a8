/**
 * How fast backend servers are, learned from the calls of all gateways.
 */
package org.rosemaryfront.speeds;
