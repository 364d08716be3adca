/**
 * What endpoints announce about themselves in their answers: the rate of requests that they accept,
 * and that they are leaving.
 */
package org.sedgeroad.announcement;
