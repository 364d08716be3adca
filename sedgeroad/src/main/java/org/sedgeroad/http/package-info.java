/** HTTP client on top of the Undertow client. */
package org.sedgeroad.http;
