package petrelplank.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handlers of operating system signals. The platform offers them through {@code sun.misc.Signal} alone, which is
 * supported (module jdk.unsupported), but which javac warns of whatever is switched off: so it is called by reflection.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs a task, in a thread of its own, each time a signal comes, in place of the platform's own handler.
     *
     * @param name the signal's name without SIG
     * @param task what to run
     * @return false where the process was started with the signal ignored, as by nohup: the platform then keeps it
     *     ignored, and the task never runs
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
                    "no handler for SIG" + name + ": " + e.getCause().getMessage(), e);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("no handler for SIG" + name + ": " + e.getMessage(), e);
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
