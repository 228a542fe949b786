package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;

/**
 * What a peer answers.
 *
 * @param news for each prefix that the peer knows, what the asker lacks and how old it is
 * @param held how long the peer waited with its answer
 */
public record FollowAnswer(ImmutableMap<String, News> news, Duration held) {

  /**
   * What a peer knows of one prefix.
   *
   * @param update what the asker lacks
   * @param age how long before the answer the peer's content was proven to be the newest; empty if
   *     it does not know
   */
  public record News(PrefixUpdate update, Optional<Duration> age) {}

  /**
   * Returns the moment at which a peer's content was proven, on the asker's clocks.
   *
   * <p>The question was sent before it arrived, so that time on the way makes the moment earlier,
   * never later.
   */
  ReadMoment provenAt(ReadMoment asked, Duration age) {
    return asked.before(age.minus(held));
  }
}
