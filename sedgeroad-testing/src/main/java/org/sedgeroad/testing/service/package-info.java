/** Stand-in for a plain service. */
package org.sedgeroad.testing.service;
