package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.platform.PlatformOperation;
import dev.apricotmill.testhelpers.platform.PlatformServer;
import dev.apricotmill.testhelpers.platform.PlatformSettings;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HttpPlatformTest {

  private static final ObjectKey KEY = new ObjectKey("config/head of today");
  private static final byte[] VALUE = "value".getBytes(UTF_8);

  private AdapterFixture fixture;
  private PlatformServer server;
  private Platform platform;

  @BeforeEach
  void start() throws Exception {
    fixture = new AdapterFixture();
    PlatformSettings settings = new PlatformSettings(500, 2000, Duration.ZERO);
    server = new PlatformServer(settings, 0, fixture.timing());
    fixture.closeAtEnd(server::close);
    platform = new HttpPlatform(fixture.clients(), server.address());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  /** Expires the timeout of a call if its fault leaves it without a response. */
  private void expireTimeoutIfNoResponse(Fault fault, PlatformOperation operation)
      throws Exception {
    if (fault == Fault.LOST_AFTER_EFFECT || fault == Fault.FROZEN) {
      fixture.expireTimeoutsOnce(() -> server.faults().calls(operation) == 1);
    }
  }

  private boolean isWritten() {
    return platform.get(KEY, TEST_TIMEOUT).toCompletableFuture().join() instanceof ReadResult.Found;
  }

  private WriteResult create() throws Exception {
    return await(platform.put(KEY, VALUE, Precondition.absent(), TEST_TIMEOUT));
  }

  @Test
  void aWrittenObjectIsReadBackWithItsVersion() throws Exception {
    assertThat(create()).isEqualTo(new WriteResult.Written(1));
    assertThat(await(platform.get(KEY, TEST_TIMEOUT)))
        .isEqualTo(new ReadResult.Found(new StoredObject(KEY, 1, VALUE)));
  }

  @Test
  void anObjectThatWasNeverWrittenIsNotFound() throws Exception {
    assertThat(await(platform.get(KEY, TEST_TIMEOUT))).isEqualTo(new ReadResult.NotFound());
  }

  @Test
  void aWriteWhoseConditionFailsReportsTheCurrentVersion() throws Exception {
    create();

    assertThat(create()).isEqualTo(new WriteResult.Conflict(1));
    assertThat(await(platform.put(KEY, VALUE, Precondition.versionIs(9), TEST_TIMEOUT)))
        .isEqualTo(new WriteResult.Conflict(1));
    assertThat(await(platform.put(KEY, VALUE, Precondition.versionIs(1), TEST_TIMEOUT)))
        .isEqualTo(new WriteResult.Written(2));
  }

  @Test
  void aDeletedObjectIsNotFound() throws Exception {
    create();

    assertThat(await(platform.delete(KEY, Precondition.versionIs(1), TEST_TIMEOUT)))
        .isEqualTo(new WriteResult.Written(2));
    assertThat(await(platform.get(KEY, TEST_TIMEOUT))).isEqualTo(new ReadResult.NotFound());
  }

  @Test
  void aListContainsOnlyTheObjectsUnderThePrefix() throws Exception {
    create();
    await(platform.put(new ObjectKey("other"), VALUE, Precondition.absent(), TEST_TIMEOUT));

    assertThat(await(platform.list("config/", TEST_TIMEOUT)))
        .isEqualTo(new ListResult.Listed(ImmutableList.of(new StoredObject(KEY, 1, VALUE)), 2));
  }

  @Test
  void aWaitingWatchReturnsWhenAnObjectChanges() throws Exception {
    CompletionStage<WatchResult> watch = platform.watch("config/", 0, TEST_TIMEOUT);
    create();

    assertThat(await(watch))
        .isEqualTo(
            new WatchResult.Changes(
                ImmutableList.of(new StoredObject(KEY, 1, VALUE)), ImmutableList.of(), 1));
  }

  @Test
  void aWatchReportsRemovedObjects() throws Exception {
    create();
    await(platform.delete(KEY, Precondition.versionIs(1), TEST_TIMEOUT));

    assertThat(await(platform.watch("config/", 1, TEST_TIMEOUT)))
        .isEqualTo(new WatchResult.Changes(ImmutableList.of(), ImmutableList.of(KEY), 2));
  }

  @Test
  void aWatchWithoutAnyChangeReturnsEmpty() throws Exception {
    assertThat(await(platform.watch("config/", 0, Duration.ofMillis(1))))
        .isEqualTo(new WatchResult.Changes(ImmutableList.of(), ImmutableList.of(), 0));
  }

  @Test
  void aWatchFromARevisionThatTheStoreNeverHadReportsCompaction() throws Exception {
    assertThat(await(platform.watch("config/", 77, TEST_TIMEOUT)))
        .isEqualTo(new WatchResult.Compacted());
  }

  @Test
  void theListOfMachinesIsRead() throws Exception {
    Machine machine =
        new Machine(
            "vm-1", Machine.Role.ENTRY, new Zone("one"), "127.0.0.1:1", Machine.State.LEAVING);
    server.setMachines(ImmutableList.of(machine));
    AdapterFixture.awaitUntil(() -> machinesNow().equals(ImmutableList.of(machine)));
  }

  private ImmutableList<Machine> machinesNow() {
    MachineListResult result = platform.machines(TEST_TIMEOUT).toCompletableFuture().join();
    return ((MachineListResult.Listed) result).machines();
  }

  @Test
  void aValueAboveTheLimitIsNotSent() throws Exception {
    byte[] value = new byte[Platform.MAX_VALUE_BYTES + 1];

    assertThat(await(platform.put(KEY, value, Precondition.absent(), TEST_TIMEOUT)))
        .isEqualTo(new WriteResult.NotWritten(PlatformFailure.TOO_LARGE));
  }

  @Test
  void aValueAtTheLimitIsReadBackUnchanged() throws Exception {
    byte[] value = new byte[Platform.MAX_VALUE_BYTES];
    value[value.length - 1] = 1;
    await(platform.put(KEY, value, Precondition.absent(), TEST_TIMEOUT));

    assertThat(await(platform.get(KEY, TEST_TIMEOUT)))
        .isEqualTo(new ReadResult.Found(new StoredObject(KEY, 1, value)));
  }

  @ParameterizedTest
  @CsvSource({
    "LOST_AFTER_EFFECT, NO_ANSWER",
    "FROZEN, NO_ANSWER",
    "CUT, NO_ANSWER",
    "ERROR, OUT_OF_SERVICE",
    "MALFORMED, MALFORMED_ANSWER",
    "OVERSIZE, MALFORMED_ANSWER",
  })
  void aWriteWithALostOrFaultyResponseIsIndeterminate(Fault fault, PlatformFailure failure)
      throws Exception {
    server.faults().once(PlatformOperation.WRITE, fault);
    CompletionStage<WriteResult> result =
        platform.put(KEY, VALUE, Precondition.absent(), TEST_TIMEOUT);
    expireTimeoutIfNoResponse(fault, PlatformOperation.WRITE);

    assertThat(await(result)).isEqualTo(new WriteResult.Indeterminate(failure));
    AdapterFixture.awaitUntil(this::isWritten);
  }

  @Test
  void aWriteOverTheRateLimitIsNotWritten() throws Exception {
    server.faults().once(PlatformOperation.WRITE, Fault.REFUSED);

    assertThat(create()).isEqualTo(new WriteResult.NotWritten(PlatformFailure.RATE_LIMITED));
    assertThat(await(platform.get(KEY, TEST_TIMEOUT))).isEqualTo(new ReadResult.NotFound());
  }

  @Test
  void aPlatformThatRefusesConnectionsIsUnreachable() throws Exception {
    Platform unreachable = new HttpPlatform(fixture.clients(), AdapterFixture.unusedAddress());

    assertThat(await(unreachable.put(KEY, VALUE, Precondition.absent(), TEST_TIMEOUT)))
        .isEqualTo(new WriteResult.NotWritten(PlatformFailure.UNREACHABLE));
    assertThat(await(unreachable.get(KEY, TEST_TIMEOUT)))
        .isEqualTo(new ReadResult.Unavailable(PlatformFailure.UNREACHABLE));
  }

  @ParameterizedTest
  @CsvSource({
    "LOST_AFTER_EFFECT, NO_ANSWER",
    "FROZEN, NO_ANSWER",
    "CUT, NO_ANSWER",
    "ERROR, OUT_OF_SERVICE",
    "REFUSED, RATE_LIMITED",
    "OVERSIZE, MALFORMED_ANSWER",
  })
  void aReadWithoutUsableResponseIsUnavailable(Fault fault, PlatformFailure failure)
      throws Exception {
    create();
    server.faults().once(PlatformOperation.GET, fault);
    CompletionStage<ReadResult> result = platform.get(KEY, TEST_TIMEOUT);
    expireTimeoutIfNoResponse(fault, PlatformOperation.GET);

    assertThat(await(result)).isEqualTo(new ReadResult.Unavailable(failure));
  }

  @Test
  void aMalformedListIsUnavailable() throws Exception {
    server.faults().once(PlatformOperation.LIST, Fault.MALFORMED);

    assertThat(await(platform.list("", TEST_TIMEOUT)))
        .isEqualTo(new ListResult.Unavailable(PlatformFailure.MALFORMED_ANSWER));
  }
}
