/** HTTP server classes shared by the stand-ins. */
package org.sedgeroad.testing.http;
