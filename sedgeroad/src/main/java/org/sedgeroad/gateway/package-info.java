/**
 * Forwarding of opaque HTTP requests by host and path prefix to the endpoints of a service.
 *
 * <p>All calls come from one event loop unless a type says otherwise.
 */
package org.sedgeroad.gateway;
