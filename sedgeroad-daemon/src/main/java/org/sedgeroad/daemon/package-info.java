/** The program {@code sedgeroad}: its subcommands for instances and for operators. */
package org.sedgeroad.daemon;
