/** The demo: a live request and a batch job through separate processes. */
package org.sedgeroad.testing.demo;
