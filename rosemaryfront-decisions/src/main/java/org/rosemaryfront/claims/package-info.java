/**
 * At-most-once calls: the claim on an idempotency key, kept in the table service, and the
 * decisions of the entry that holds it and of the entries that get a repeat.
 */
package org.rosemaryfront.claims;
