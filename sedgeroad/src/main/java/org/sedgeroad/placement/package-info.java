/**
 * Decisions on where live requests and batch items run: pure functions of counts, without time,
 * input or output, and the dispatcher that applies them.
 */
package org.sedgeroad.placement;
