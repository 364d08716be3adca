/**
 * Forwarding of HTTP requests, whose content is not interpreted, by host and path prefix to the
 * endpoints of a service.
 *
 * <p>All methods are called on one event loop unless a type states otherwise.
 */
package org.sedgeroad.gateway;
