/** Stand-in for a plain HTTP service, as opposed to a model engine. */
package org.sedgeroad.testing.service;
