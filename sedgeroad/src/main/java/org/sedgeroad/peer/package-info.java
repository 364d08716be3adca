/** Messages and membership between instances. */
package org.sedgeroad.peer;
