package dev.apricotmill.daemon.process;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Runs a task when the process gets SIGHUP, which would otherwise end it.
 *
 * <p>The runtime has no public type for signals; its unsupported one is reached by reflection, so
 * that its absence costs the reload and not the start.
 */
public final class HangUpSignal {

  private static final Logger LOGGER = System.getLogger(HangUpSignal.class.getName());

  private HangUpSignal() {}

  /** Runs {@code task} on a thread of the runtime for each signal. */
  public static void handle(Runnable task) {
    try {
      Class<?> signals = Class.forName("sun.misc.Signal");
      Class<?> handlers = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              HangUpSignal.class.getClassLoader(),
              new Class<?>[] {handlers},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      Object hangUp = signals.getConstructor(String.class).newInstance("HUP");
      signals.getMethod("handle", signals, handlers).invoke(null, hangUp, handler);
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOGGER.log(Level.WARNING, "process: SIGHUP is not handled: {0}", e.toString());
    }
  }
}
