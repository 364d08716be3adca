/**
 * Exchange of load reports between instances. Several times a second, each instance sends the
 * numbers of its live requests and batch items at each endpoint to the others, in UDP datagrams.
 *
 * <p>Each report replaces the previous one, so a lost datagram delays the counts by one period
 * only, and a slow peer does not block the sender. A byte stream such as TCP would not drop
 * outdated counts but deliver them late.
 */
package org.sedgeroad.presence;
