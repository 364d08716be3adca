/**
 * Detection of live requests that crash endpoints: evidence from broken runs, its exchange between
 * instances, and the quarantines that follow from it.
 */
package org.sedgeroad.suspicion;
