package dev.apricotmill.cli.command;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;
import java.util.Optional;

/** A command that can't do without the platform. */
public abstract class PlatformCommand extends Command {
  @Override
  public final Report run(CommandContext context) {
    Optional<PeerAddress> address = options().platform(context.environment());
    if (address.isEmpty()) {
      return Failure.Kind.NO_PLATFORM_ADDRESS.report(
          "the address of the platform is not known",
          "give --platform IP:PORT or set " + CommonOptions.PLATFORM_VARIABLE);
    }
    return run(context, context.connections().platform(address.get()));
  }

  /** Does the work with the platform. */
  protected abstract Report run(CommandContext context, Platform platform);
}
