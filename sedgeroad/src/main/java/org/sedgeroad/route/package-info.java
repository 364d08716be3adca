/** Endpoint table and routing decisions. */
package org.sedgeroad.route;
