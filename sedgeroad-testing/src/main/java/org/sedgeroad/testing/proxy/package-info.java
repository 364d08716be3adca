/** TCP proxy that injects network faults. */
package org.sedgeroad.testing.proxy;
