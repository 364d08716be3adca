/** Live requests: admission, placement, retries and whole answers. */
package org.sedgeroad.live;
