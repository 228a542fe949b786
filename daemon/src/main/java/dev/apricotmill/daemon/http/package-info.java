/** HTTP/1.1 server with request limits, complete or streamed responses, and back-pressure. */
@NullMarked
package dev.apricotmill.daemon.http;

import org.jspecify.annotations.NullMarked;
