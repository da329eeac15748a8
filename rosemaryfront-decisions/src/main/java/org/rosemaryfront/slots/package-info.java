/**
 * Slots of services that are so small that no gateway can have one for itself: one
 * gateway grants them, all others ask it before they send a call.
 */
package org.rosemaryfront.slots;
