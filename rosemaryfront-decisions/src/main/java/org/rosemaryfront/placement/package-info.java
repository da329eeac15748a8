/**
 * Chooses among servers that many gateways see in the same aged reports.
 */
package org.rosemaryfront.placement;
