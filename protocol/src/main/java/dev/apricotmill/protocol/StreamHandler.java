package dev.apricotmill.protocol;

/** What the answering side hears about a stream that it accepted. */
public interface StreamHandler {

  /** A handler of streams with one response, which need no credit and cannot be stopped. */
  StreamHandler SINGLE_RESPONSE =
      new StreamHandler() {
        @Override
        public void onCredit(long responses) {}

        @Override
        public void onCancel() {}
      };

  /** Learns that the asking side takes that many more responses. */
  void onCredit(long responses);

  /** Learns that the asking side gave the stream up or is gone. */
  void onCancel();
}
