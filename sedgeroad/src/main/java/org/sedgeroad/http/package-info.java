/** Outgoing HTTP over the Undertow client. */
package org.sedgeroad.http;
