/** Versioned copies of the store's configuration objects. */
package org.sedgeroad.configuration;
