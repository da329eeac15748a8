/**
 * Decides which calls are admitted while a service has less room than is asked for.
 */
package org.rosemaryfront.admission;
