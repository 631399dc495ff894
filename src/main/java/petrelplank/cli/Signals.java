package petrelplank.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for operating system signals. Java offers this only through {@code sun.misc.Signal}. That class is
 * supported (module jdk.unsupported), but javac warns about each direct use and the warning cannot be suppressed, so it
 * is called by reflection.
 */
final class Signals {
    private Signals() {}

    /**
     * Replaces the default handler of a signal. The task runs in a separate thread each time the signal arrives.
     *
     * @param name the name of the signal, without SIG
     * @param task the task to run
     * @return false if the process was started with the signal ignored, for example by nohup: the Java runtime then
     *     keeps it ignored, and the task never runs
     */
    static boolean on(String name, Runnable task) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signal, handler(handlerType, task));
            return previousHandler != handlerType.getField("SIG_IGN").get(null);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(
                    "failed to install a handler for SIG" + name + ": "
                            + e.getCause().getMessage(),
                    e);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("failed to install a handler for SIG" + name + ": " + e.getMessage(), e);
        }
    }

    private static Object handler(Class<?> handlerType, Runnable task) {
        return Proxy.newProxyInstance(
                Signals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, args) -> {
                    if (method.getDeclaringClass() == Object.class) {
                        return method.invoke(task, args);
                    }
                    task.run();
                    return null;
                });
    }
}
