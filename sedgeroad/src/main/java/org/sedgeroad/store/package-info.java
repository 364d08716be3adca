/** Client of the platform's versioned object store. */
package org.sedgeroad.store;
