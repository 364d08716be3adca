/**
 * Checks of a configuration of routes, services and workspaces before it is sent to the store.
 *
 * <p>The checks are pure functions of decoded documents ({@link
 * org.sedgeroad.check.ConfigurationDocument}) and are stricter than the decoder that serves
 * requests, which leaves out what it can't use. Keys are held as digests only; no finding contains
 * one.
 */
package org.sedgeroad.check;
