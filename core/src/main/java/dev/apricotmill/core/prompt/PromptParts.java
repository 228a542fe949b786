package dev.apricotmill.core.prompt;

import com.google.common.collect.ImmutableList;

/**
 * The parts of a prompt in order, as identified by the caller.
 *
 * @param ids the parts' identifiers; requests with the same identifier share the part, and the last
 *     part belongs to the request or its session alone
 */
public record PromptParts(ImmutableList<String> ids) {

  /** A prompt whose parts are not known. */
  public static final PromptParts NONE = new PromptParts(ImmutableList.of());

  /** Returns the parts that other prompts may share: all but the last. */
  public ImmutableList<String> shared() {
    return ids.isEmpty() ? ids : ids.subList(0, ids.size() - 1);
  }
}
