/** Local, versioned copies of the configuration objects in the store. */
package org.sedgeroad.configuration;
