/**
 * Rate limits that backend servers state in their responses, and how the gateways keep
 * them together.
 */
package org.rosemaryfront.limits;
