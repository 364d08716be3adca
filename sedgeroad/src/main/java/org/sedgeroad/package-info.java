/** Types that are shared by all other packages. */
package org.sedgeroad;
