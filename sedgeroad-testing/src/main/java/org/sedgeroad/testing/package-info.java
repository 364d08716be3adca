/** Code shared by the stand-ins, load generators, experiments and tests of this module. */
package org.sedgeroad.testing;
