/** HTTP/1.1 servers: bounded requests in, whole or streamed answers with back-pressure out. */
@NullMarked
package dev.apricotmill.daemon.http;

import org.jspecify.annotations.NullMarked;
