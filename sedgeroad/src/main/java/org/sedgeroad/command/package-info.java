/** The operators' statement language: its grammar, its execution and the administration API. */
package org.sedgeroad.command;
