/** Operators' language: grammar, executor and administration API. */
package org.sedgeroad.command;
