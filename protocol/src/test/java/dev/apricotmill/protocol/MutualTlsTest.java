package dev.apricotmill.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.apricotmill.protocol.generated.Fetch;
import dev.apricotmill.protocol.generated.Fetched;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
final class MutualTlsTest {

  private static final String ANSWERED = "answered";

  @TempDir private Path directory;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private X509Bundle authority;
  private MutualTls serverTls;
  private InnerServer server;

  @BeforeEach
  void start() throws Exception {
    authority = newAuthority();
    serverTls = MutualTls.load(write("server", leaf(authority, Duration.ofDays(1)), authority));
    server =
        new InnerServer(
            "server",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TransportLimits.DEFAULT,
            serverTls,
            group,
            (request, stream) -> {
              stream.finish(Response.newBuilder().setFetched(Fetched.getDefaultInstance()).build());
              return StreamHandler.SINGLE_RESPONSE;
            });
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully();
  }

  @Test
  void aPeerWithACertificateOfTheTrustedAuthorityIsServed() throws Exception {
    MutualTls tls = MutualTls.load(write("peer", leaf(authority, Duration.ofDays(1)), authority));
    assertThat(sendRequest(tls)).isEqualTo(ANSWERED);
  }

  @Test
  void aPeerWithoutTlsIsRefused() throws Exception {
    assertThat(sendRequest(TransportSecurity.PLAIN)).isEqualTo(StreamLoss.NOT_SENT.name());
  }

  @Test
  void aPeerOfAnotherAuthorityIsRefused() throws Exception {
    TlsFiles files = write("peer", leaf(newAuthority(), Duration.ofDays(1)), authority);
    assertThat(sendRequest(MutualTls.load(files))).isEqualTo(StreamLoss.NOT_SENT.name());
  }

  @Test
  void aPeerWithAnExpiredCertificateIsRefused() throws Exception {
    TlsFiles files = write("peer", leaf(authority, Duration.ofDays(-1)), authority);
    assertThat(sendRequest(MutualTls.load(files))).isEqualTo(StreamLoss.NOT_SENT.name());
  }

  @Test
  void changedFilesAreLoadedWithoutARestart() throws Exception {
    X509Bundle next = newAuthority();
    MutualTls tls = MutualTls.load(write("peer", leaf(next, Duration.ofDays(1)), next));
    assertThat(sendRequest(tls)).isEqualTo(StreamLoss.NOT_SENT.name());
    write("server", leaf(next, Duration.ofDays(1)), next);
    serverTls.reloadIfChanged();
    assertThat(sendRequest(tls)).isEqualTo(ANSWERED);
  }

  @Test
  void invalidFilesAreRejectedAndTheCurrentCertificatesKept() throws Exception {
    Files.writeString(directory.resolve("server-key.pem"), "no key");
    serverTls.reloadIfChanged();
    MutualTls tls = MutualTls.load(write("peer", leaf(authority, Duration.ofDays(1)), authority));
    assertThat(sendRequest(tls)).isEqualTo(ANSWERED);
    assertThrows(IOException.class, () -> MutualTls.load(filesOf("server")));
  }

  private String sendRequest(TransportSecurity security) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    try (InnerClient client = new InnerClient("client", TransportLimits.DEFAULT, security, group)) {
      client.open(
          server.address(),
          Request.newBuilder().setFetch(Fetch.getDefaultInstance()).build(),
          new ResponseListener() {
            @Override
            public void onResponse(Response response) {}

            @Override
            public void onEnd(Response response) {
              result.complete(ANSWERED);
            }

            @Override
            public void onLoss(StreamLoss loss) {
              result.complete(loss.name());
            }
          });
      return result.get(30, TimeUnit.SECONDS);
    }
  }

  private static X509Bundle newAuthority() throws Exception {
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=authority")
        .setIsCertificateAuthority(true)
        .buildSelfSigned();
  }

  private static X509Bundle leaf(X509Bundle issuer, Duration validFor) throws Exception {
    Instant now = Instant.now();
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=daemon")
        .notBefore(now.minus(Duration.ofDays(2)))
        .notAfter(now.plus(validFor))
        .buildIssuedBy(issuer);
  }

  private TlsFiles write(String name, X509Bundle leaf, X509Bundle trusted) throws IOException {
    TlsFiles files = filesOf(name);
    Files.writeString(files.certificateChain(), leaf.getCertificatePathPEM());
    Files.writeString(files.privateKey(), leaf.getPrivateKeyPEM());
    Files.writeString(files.authority(), trusted.getRootCertificatePEM());
    return files;
  }

  private TlsFiles filesOf(String name) {
    return new TlsFiles(
        directory.resolve(name + "-chain.pem"),
        directory.resolve(name + "-key.pem"),
        directory.resolve(name + "-authority.pem"));
  }
}
