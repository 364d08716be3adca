/**
 * Detection of live requests that crash endpoints, for the gateway: evidence from broken runs, its
 * exchange between instances, and the quarantines that follow from it. Requests are identified by
 * the parts of their prompts. The OpenAI-compatible interface, whose requests repeat as a whole,
 * uses {@link org.sedgeroad.route.CrashingRequestDetector} instead.
 */
package org.sedgeroad.suspicion;
