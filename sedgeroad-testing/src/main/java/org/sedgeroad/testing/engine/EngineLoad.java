package org.sedgeroad.testing.engine;

import java.time.Instant;

/**
 * Load of an engine at a point in time.
 *
 * @param running number of runs that hold a slot
 * @param waiting number of requests in the queue
 * @param cacheTokens number of tokens in the prefix cache
 * @param time wall-clock time
 */
record EngineLoad(int running, int waiting, int cacheTokens, Instant time) {}
