/** Leases of instances, one object per failure domain. */
package org.sedgeroad.lease;
