/** Voted limits of members and their enforcement by shares, token buckets and sub-grants. */
package org.sedgeroad.limit;
