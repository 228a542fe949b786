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
 * Protects connections by TLS with certificates on both sides. The files can be replaced while the
 * daemon runs; new connections then use the new ones.
 *
 * <p>A peer is trusted because the deployment's authority signed its certificate. Its IP number is
 * not compared, since VMs are replaced under new numbers.
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
   * Reads the files for the first time.
   *
   * @throws IOException if a file cannot be read or does not hold what it should
   */
  public static MutualTls load(TlsFiles files) throws IOException {
    return new MutualTls(files, Contexts.read(files));
  }

  /** Reads the files again if they changed; keeps what it has if they cannot be used. */
  public void reloadIfChanged() {
    try {
      if (!Contexts.fingerprint(files).equals(current.get().fingerprint())) {
        current.set(Contexts.read(files));
        LOGGER.log(Level.INFO, "tls: took new certificates");
      }
    } catch (IOException e) {
      LOGGER.log(Level.WARNING, "tls: kept the old certificates: {0}", e.getMessage());
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
        throw new IOException("not usable as PEM: " + e.getMessage(), e);
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
