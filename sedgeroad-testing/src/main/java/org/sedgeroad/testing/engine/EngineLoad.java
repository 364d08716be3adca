package org.sedgeroad.testing.engine;

import java.time.Instant;

/**
 * Load of an engine at one time.
 *
 * @param running streams in slots
 * @param waiting requests in the queue
 * @param cacheTokens tokens in the prefix cache
 * @param time wall-clock time
 */
record EngineLoad(int running, int waiting, int cacheTokens, Instant time) {}
