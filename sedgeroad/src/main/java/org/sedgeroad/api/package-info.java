/** HTTP interface for callers. */
package org.sedgeroad.api;
