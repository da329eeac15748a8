/**
 * Roll-outs: the calls of a service are moved to another version of its backend servers,
 * a small part of them first, and moved back when that version turns out to be bad.
 */
package org.rosemaryfront.rollout;
