package dev.apricotmill.protocol;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Mutual TLS. The certificate files can be replaced while the daemon runs; {@link #reloadIfChanged}
 * makes later connections use the new ones.
 *
 * <p>A peer is trusted if the deployment's certificate authority signed its certificate. The peer's
 * IP address is not checked, since replacement VMs get new addresses.
 */
public final class MutualTls implements TransportSecurity {

  private static final Logger LOGGER = System.getLogger(MutualTls.class.getName());

  private final TlsFiles files;
  private final AtomicReference<Contexts> current;

  private MutualTls(TlsFiles files, Contexts initial) {
    this.files = files;
    current = new AtomicReference<>(initial);
  }

  /**
   * Loads the certificate files.
   *
   * @throws IOException if a file cannot be read or is not valid PEM of the expected kind
   */
  public static MutualTls load(TlsFiles files) throws IOException {
    return new MutualTls(files, Contexts.read(files));
  }

  /** Reloads the files if they changed; keeps the current certificates if that fails. */
  public void reloadIfChanged() {
    try {
      if (!Contexts.fingerprint(files).equals(current.get().fingerprint())) {
        current.set(Contexts.read(files));
        LOGGER.log(Level.INFO, "tls: reloaded changed certificate files");
      }
    } catch (IOException e) {
      LOGGER.log(
          Level.WARNING,
          "tls: cannot reload certificate files, keeping the current certificates: {0}",
          e.getMessage());
    }
  }

  @Override
  public void protectClient(Channel channel, InetSocketAddress peer) {
    channel
        .pipeline()
        .addLast(
            current
                .get()
                .client()
                .newHandler(channel.alloc(), peer.getHostString(), peer.getPort()));
  }

  @Override
  public void protectServer(Channel channel) {
    channel.pipeline().addLast(current.get().server().newHandler(channel.alloc()));
  }

  private record Contexts(SslContext client, SslContext server, HashCode fingerprint) {

    static Contexts read(TlsFiles files) throws IOException {
      HashCode fingerprint = fingerprint(files);
      try {
        SslContext client =
            SslContextBuilder.forClient()
                .sslProvider(SslProvider.JDK)
                .keyManager(files.certificateChain().toFile(), files.privateKey().toFile())
                .trustManager(files.authority().toFile())
                .endpointIdentificationAlgorithm(null)
                .build();
        SslContext server =
            SslContextBuilder.forServer(
                    files.certificateChain().toFile(), files.privateKey().toFile())
                .sslProvider(SslProvider.JDK)
                .trustManager(files.authority().toFile())
                .clientAuth(ClientAuth.REQUIRE)
                .build();
        return new Contexts(client, server, fingerprint);
      } catch (IllegalArgumentException e) {
        throw new IOException("invalid PEM file: " + e.getMessage(), e);
      }
    }

    static HashCode fingerprint(TlsFiles files) throws IOException {
      var hasher = Hashing.sha256().newHasher();
      for (Path file :
          new Path[] {files.certificateChain(), files.privateKey(), files.authority()}) {
        byte[] bytes = Files.readAllBytes(file);
        hasher.putInt(bytes.length).putBytes(bytes);
      }
      return hasher.hash();
    }
  }
}
