package dev.apricotmill.protocol;

import java.nio.file.Path;

/**
 * The PEM files of one side of a mutual TLS connection.
 *
 * @param certificateChain this daemon's certificate, followed by the intermediate certificates
 * @param privateKey the certificate's private key, as unencrypted PKCS #8
 * @param authority the certificate authorities that are trusted to sign the peer's certificate
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path authority) {}
