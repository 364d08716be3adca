/** Endpoint table, and policies for routing, hedging, batch and spill decisions. */
package org.sedgeroad.route;
