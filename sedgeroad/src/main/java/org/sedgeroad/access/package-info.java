/** Decides who may send requests: keys, workspaces, quotas, and the age of the configuration. */
package org.sedgeroad.access;
