package petrelplank.record;

import java.io.PrintStream;

/**
 * Prints events as lines of text ({@code serve --trace}), for hosts of which nothing but the log remains. A line
 * consists of {@code @} and the time in Unix microseconds, the kind of the line, and its fields, separated by tabs; a
 * null field is printed as {@code -}. The kind {@code lost} gives the number of lost events. Not thread-safe.
 */
final class TraceLines implements RecordOutput {
    /** Buffered characters at which the buffer is printed. */
    private static final int BATCH_CHARS = 4096;

    private final PrintStream out;
    private final StringBuilder lines = new StringBuilder(2 * BATCH_CHARS);

    TraceLines(PrintStream out) {
        this.out = out;
    }

    @Override
    public void append(Entry entry) {
        long unixUs = entry.unixUs();
        Event event = entry.event();
        if (!appendRequestEvent(unixUs, event)) {
            appendProxyEvent(unixUs, event);
        }
        if (lines.length() >= BATCH_CHARS) {
            flush();
        }
    }

    /** Appends the line of an event that concerns a single request; returns false for any other event. */
    private boolean appendRequestEvent(long unixUs, Event event) {
        if (event instanceof Event.AttemptSent sent) {
            attemptSent(unixUs, sent);
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptEnded(unixUs, ended);
        } else if (event instanceof Event.RequestCompleted completed) {
            requestCompleted(unixUs, completed);
        } else if (event instanceof Event.RequestAdmitted admitted) {
            requestAdmitted(unixUs, admitted);
        } else if (event instanceof Event.RequestRejected rejected) {
            requestRejected(unixUs, rejected);
        } else {
            return false;
        }
        return true;
    }

    /** Appends the line of an event that concerns the proxy or its endpoints; some of these events have no line. */
    private void appendProxyEvent(long unixUs, Event event) {
        if (event instanceof Event.EndpointsChanged changed) {
            endpointsChanged(unixUs, changed);
        } else if (event instanceof Event.Purged purged) {
            purged(unixUs, purged);
        } else if (event instanceof Event.EndpointEjected ejected) {
            line(unixUs, "ejected", ejected.server(), ejected.healthCheckFailed(), ejected.pauseUs());
        } else if (event instanceof Event.EndpointRecovered recovered) {
            line(unixUs, "returned", recovered.server());
        } else if (event instanceof Event.ProxyStarted started) {
            line(unixUs, "started", started.zone());
        } else if (event instanceof Event.Heartbeat heartbeat) {
            line(unixUs, "pulse", heartbeat.openRequests(), heartbeat.queuedTasks(), heartbeat.maxTimerDelayUs());
        } else if (event instanceof Event.EventsLost lost) {
            line(unixUs, "lost", lost.events());
        }
    }

    private void attemptSent(long unixUs, Event.AttemptSent sent) {
        line(
                unixUs,
                "sent",
                Long.toHexString(sent.request()),
                sent.attempt(),
                sent.serviceClass(),
                sent.server(),
                sent.source());
    }

    private void attemptEnded(long unixUs, Event.AttemptEnded ended) {
        line(
                unixUs,
                "ended",
                Long.toHexString(ended.request()),
                ended.attempt(),
                ended.serviceClass(),
                ended.server(),
                ended.source(),
                StoredNames.of(ended.status()),
                StoredNames.of(ended.cacheStatus()),
                ended.latencyUs(),
                ended.sourceWaitUs(),
                ended.bytes(),
                ended.load());
    }

    private void requestCompleted(long unixUs, Event.RequestCompleted completed) {
        line(
                unixUs,
                "answered",
                Long.toHexString(completed.request()),
                completed.serviceClass(),
                StoredNames.of(completed.kind()),
                completed.latencyUs(),
                completed.bytes(),
                completed.withinObjective(),
                completed.reason() == null ? null : StoredNames.of(completed.reason()));
    }

    private void requestAdmitted(long unixUs, Event.RequestAdmitted admitted) {
        line(
                unixUs,
                "taken",
                Long.toHexString(admitted.request()),
                admitted.serviceClass(),
                Long.toHexString(admitted.object()),
                admitted.group());
    }

    private void requestRejected(long unixUs, Event.RequestRejected rejected) {
        line(unixUs, "turned", rejected.request(), rejected.serviceClass(), StoredNames.of(rejected.kind()));
    }

    private void endpointsChanged(long unixUs, Event.EndpointsChanged changed) {
        for (ListedEndpoint endpoint : changed.servers()) {
            line(
                    unixUs,
                    "listed",
                    changed.index(),
                    endpoint.id(),
                    endpoint.zone(),
                    endpoint.kind(),
                    StoredNames.of(endpoint.state()),
                    endpoint.weight(),
                    endpoint.startedUs());
        }
    }

    private void purged(long unixUs, Event.Purged purged) {
        line(
                unixUs,
                "purged",
                purged.index(),
                purged.object() == null ? null : Long.toHexString(purged.object()),
                purged.group(),
                purged.unixMs());
    }

    private void line(long unixUs, String kind, Object... fields) {
        lines.append('@').append(unixUs).append('\t').append(kind);
        for (Object field : fields) {
            lines.append('\t');
            if (field == null) {
                lines.append('-');
            } else {
                lines.append(field);
            }
        }
        lines.append('\n');
    }

    @Override
    public void flush() {
        if (lines.length() > 0) {
            out.print(lines);
            out.flush();
            lines.setLength(0);
        }
    }

    @Override
    public long takeLost() {
        return 0;
    }

    @Override
    public void close() {
        flush();
    }
}
