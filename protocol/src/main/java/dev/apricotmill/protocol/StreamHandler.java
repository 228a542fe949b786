package dev.apricotmill.protocol;

/** Receives the events of a stream that the server accepted. */
public interface StreamHandler {

  /** A handler for streams with a single response, which need no credit; ignores cancellation. */
  StreamHandler SINGLE_RESPONSE =
      new StreamHandler() {
        @Override
        public void onCredit(long responses) {}

        @Override
        public void onCancel() {}
      };

  /** Called when the client allows {@code responses} more responses. */
  void onCredit(long responses);

  /** Called when the client cancelled the stream or its connection was closed. */
  void onCancel();
}
