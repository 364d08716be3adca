/** Public types of sedgeroad, shared by every other package. */
package org.sedgeroad;
