/** Stand-in for the platform, with the object API of its store and its instance list. */
package org.sedgeroad.testing.platform;
