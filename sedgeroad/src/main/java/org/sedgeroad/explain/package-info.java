/**
 * Explains the course of a request, item or job from the logs of several instances: {@link
 * org.sedgeroad.explain.Explanation} selects the events, {@link
 * org.sedgeroad.explain.ExplanationText} formats them.
 */
package org.sedgeroad.explain;
