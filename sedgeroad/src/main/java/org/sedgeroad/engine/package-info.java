/** Calls to model engines and plain services. */
package org.sedgeroad.engine;
