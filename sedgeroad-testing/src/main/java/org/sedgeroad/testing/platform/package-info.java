/** Stand-in for the platform: object API and instance list. */
package org.sedgeroad.testing.platform;
