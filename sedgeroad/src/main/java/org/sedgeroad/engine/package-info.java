/** Calls endpoints of model engines and other services, and reads their answers. */
package org.sedgeroad.engine;
