/**
 * What the instances tell each other: their work at each endpoint, several times a second, in
 * datagrams.
 *
 * <p>A report replaces the one before it, so a lost datagram costs one period and a slow peer holds
 * nothing up; a stream of bytes would deliver old counts late.
 */
package org.sedgeroad.presence;
