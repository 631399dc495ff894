package petrelplank.fastcgi;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.SendQueues;

/**
 * Asks the kernel whether written responses have reached their clients, in a thread of its own: the list of a machine
 * with many sockets takes long to read. One check runs at a time. Thread-safe.
 */
final class DeliveryMonitor {
    private static final Logger LOG = Logger.getLogger(DeliveryMonitor.class.getName());
    private static final long MIN_PAUSE_NS = 50_000_000;
    /** The pause after a check is at least this multiple of its length, which bounds the processor time of checks. */
    private static final int PAUSE_TO_CHECK_RATIO = 9;
    /** Failed reads in a row after which the kernel's list counts as empty. Descriptors may be short for a while. */
    private static final int MAX_FAILED_READS = 20;

    /** A connection to check, and the bytes that had been written on it before the check. */
    private record Sample(FastCgiConnection connection, long writtenBytes) {}

    private final EventLoop loop;
    private final ThreadPoolExecutor executor;
    private final AtomicBoolean checking = new AtomicBoolean();
    private volatile int listeningPort;
    private volatile long nextCheckNs = System.nanoTime();
    /** Confined to the monitor's thread, as is {@link #missingPortLogged}. */
    private int failedReads;

    private boolean missingPortLogged;

    DeliveryMonitor(EventLoop loop) {
        this.loop = loop;
        this.executor = new ThreadPoolExecutor(
                1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), DeliveryMonitor::newThread);
        // Started early: a process that runs short of threads later could not check any more.
        executor.prestartCoreThread();
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "delivery-monitor");
        thread.setDaemon(true);
        return thread;
    }

    /** Sets the local port of the connections; must be called before the first check. */
    void setListeningPort(int port) {
        listeningPort = port;
    }

    /** Ends the monitor's thread; no checks are made from then on. */
    void close() {
        checking.set(true);
        executor.shutdownNow();
    }

    /**
     * Starts to check connections, unless another check is running or has just ended. The connections learn the results
     * in the event thread.
     */
    void check(Collection<FastCgiConnection> connections) {
        if (connections.isEmpty() || System.nanoTime() - nextCheckNs < 0 || !checking.compareAndSet(false, true)) {
            return;
        }
        List<Sample> samples = connections.stream()
                .map(connection -> new Sample(connection, connection.delivery().writtenBytes()))
                .toList();
        executor.execute(() -> check(samples));
    }

    private void check(List<Sample> samples) {
        long startNs = System.nanoTime();
        try {
            report(samples, SendQueues.read(listeningPort));
            failedReads = 0;
        } catch (IOException | RuntimeException e) {
            onFailedRead(samples, e);
        } finally {
            long endNs = System.nanoTime();
            nextCheckNs = endNs + Math.max(MIN_PAUSE_NS, PAUSE_TO_CHECK_RATIO * (endNs - startNs));
            checking.set(false);
        }
    }

    private void report(List<Sample> samples, SendQueues queues) {
        if (!queues.isPortListed() && !missingPortLogged) {
            missingPortLogged = true;
            LOG.info("the kernel's list of connections lacks port " + listeningPort
                    + ": responses count as delivered once they are written");
        }
        loop.post(() -> samples.forEach(sample -> sample.connection.onDeliveryChecked(sample.writtenBytes, queues)));
    }

    private void onFailedRead(List<Sample> samples, Exception failure) {
        failedReads++;
        if (failedReads < MAX_FAILED_READS) {
            return;
        }
        if (failedReads == MAX_FAILED_READS) {
            LOG.warning("the kernel's list of connections could not be read " + failedReads + " times in a row ("
                    + failure + "): responses count as delivered once they are written, until it can be read");
        }
        loop.post(() -> samples.forEach(
                sample -> sample.connection.onDeliveryChecked(sample.writtenBytes, SendQueues.empty())));
    }
}
