package org.sedgeroad.http;

import io.undertow.client.ClientConnection;

/**
 * An open connection whose answers are validated.
 *
 * @param client sends requests and receives answers
 * @param source validates the bytes before the client receives them
 */
record ValidatedConnection(ClientConnection client, ValidatedSource source) {}
