/**
 * Roll-outs, which move the calls of a service from the baseline version of its backend
 * servers to a candidate version: a small share of the calls first, and back if the
 * candidate proves worse.
 */
package org.rosemaryfront.rollout;
