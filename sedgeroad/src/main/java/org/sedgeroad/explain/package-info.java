/**
 * Explains what became of a request, item or job from the logs of several instances: {@link
 * org.sedgeroad.explain.Explanation} chooses the lines, {@link
 * org.sedgeroad.explain.ExplanationText} prints them.
 */
package org.sedgeroad.explain;
