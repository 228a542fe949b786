package dev.apricotmill.testhelpers.fault;

/** What goes wrong with one call of a stand-in. */
public enum Fault {
  /** Nothing goes wrong. */
  NONE,
  /** The answer comes late. */
  LATE,
  /** The call takes effect and its answer is lost. */
  LOST_AFTER_EFFECT,
  /** The call is lost before it takes effect, and so is any answer. */
  LOST_BEFORE_EFFECT,
  /** The stand-in refuses and says that nothing took effect. */
  REFUSED,
  /** The stand-in reports an error without saying whether anything took effect. */
  ERROR,
  /** The connection breaks in the middle of the answer. */
  CUT,
  /** The connection stays open and nothing more comes in the middle of the answer. */
  FROZEN,
  /** A chunk comes twice. */
  DUPLICATED_CHUNK,
  /** A chunk of another request comes. */
  FOREIGN_CHUNK,
  /** The answer ends early as if it were whole. */
  TRUNCATED,
  /** The answer is not well formed. */
  MALFORMED,
  /** The answer is far larger than any limit. */
  OVERSIZE
}
