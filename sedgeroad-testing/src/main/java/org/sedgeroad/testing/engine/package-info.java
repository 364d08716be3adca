/** Stand-in for a model engine. */
package org.sedgeroad.testing.engine;
