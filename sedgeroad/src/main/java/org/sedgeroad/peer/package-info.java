/** Messages between instances, their transport over TCP, and membership by gossip. */
package org.sedgeroad.peer;
