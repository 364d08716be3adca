/** Error budgets of the members: objectives, records and reports. */
package org.sedgeroad.burn;
