/** Numbered, structured log events. */
package org.sedgeroad.event;
