package dev.apricotmill.protocol;

import java.nio.file.Path;

/**
 * The PEM files of one side of a mutual TLS connection.
 *
 * @param certificateChain this daemon's certificate and those between it and the authority
 * @param privateKey the certificate's key, as unencrypted PKCS #8
 * @param authority the certificates whose signatures are trusted on the other side
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path authority) {}
