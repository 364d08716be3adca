/** Live requests: admission, placement, retries and delivery of complete answers. */
package org.sedgeroad.live;
