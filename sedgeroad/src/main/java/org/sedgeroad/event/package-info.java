/** Structured logging of numbered events. */
package org.sedgeroad.event;
