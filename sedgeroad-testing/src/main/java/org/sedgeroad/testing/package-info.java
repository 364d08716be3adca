/** The testing module of sedgeroad. */
package org.sedgeroad.testing;
