/**
 * Exchange of load reports between instances: each sends its work at each endpoint several times a
 * second, in UDP datagrams.
 *
 * <p>A report replaces the previous one, so a lost datagram delays the counts by one period only
 * and a slow peer blocks nobody; a byte stream such as TCP would deliver outdated counts late.
 */
package org.sedgeroad.presence;
