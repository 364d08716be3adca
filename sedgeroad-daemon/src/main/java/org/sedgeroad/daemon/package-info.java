/** The daemon module of sedgeroad. */
package org.sedgeroad.daemon;
