/**
 * At-most-once calls: claims on idempotency keys, stored in the table service, and the
 * decisions of the entry process that holds a claim and of those that receive a repeat.
 */
package org.rosemaryfront.claims;
