/** Exchange of small tables between instances, by messages that may be lost. */
package org.sedgeroad.exchange;
