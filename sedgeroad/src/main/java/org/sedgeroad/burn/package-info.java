/** Error budgets of the members: objectives, counts of good and bad requests, and reports. */
package org.sedgeroad.burn;
