/**
 * Runs batch jobs: packs uploaded files into segments, claims segments, sends their items to
 * endpoints, and commits the results to the store.
 */
package org.sedgeroad.job;
