/** HTTP server parts shared by the stand-ins. */
package org.sedgeroad.testing.http;
