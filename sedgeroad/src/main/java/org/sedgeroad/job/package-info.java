/** Batch jobs: packing, claims, commits and results. */
package org.sedgeroad.job;
