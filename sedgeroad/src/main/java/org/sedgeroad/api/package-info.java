/** HTTP API for callers: live requests, files and batch jobs, metrics and health checks. */
package org.sedgeroad.api;
