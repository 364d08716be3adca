/** Voted limits: allowances, token buckets and grants. */
package org.sedgeroad.limit;
