/** TCP proxy that injects faults. */
package org.sedgeroad.testing.proxy;
