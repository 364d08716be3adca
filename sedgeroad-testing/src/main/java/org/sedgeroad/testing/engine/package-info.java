/** Stand-in for a model engine, with an OpenAI API, continuous batching and a prefix cache. */
package org.sedgeroad.testing.engine;
