package dev.apricotmill.daemon.process;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Runs a task when the process receives SIGHUP, which would otherwise terminate it.
 *
 * <p>Java has no supported API for signals. The unsupported {@code sun.misc.Signal} is called by
 * reflection: on a runtime without it the daemon starts, but cannot reload on SIGHUP.
 */
public final class SighupHandler {

  private static final Logger LOGGER = System.getLogger(SighupHandler.class.getName());

  private SighupHandler() {}

  /** Registers {@code task}, which runs on a thread of the Java runtime for each signal. */
  public static void register(Runnable task) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, handler);
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOGGER.log(Level.WARNING, "process: SIGHUP is not handled: {0}", e.toString());
    }
  }
}
