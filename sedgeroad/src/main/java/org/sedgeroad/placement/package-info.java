/**
 * Placement of live requests and batch items at endpoints: decisions as pure functions of counts,
 * without clock, input or output, and the dispatcher that applies them.
 */
package org.sedgeroad.placement;
