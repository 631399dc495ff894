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
            appendAttemptSent(unixUs, sent);
        } else if (event instanceof Event.AttemptEnded ended) {
            appendAttemptEnded(unixUs, ended);
        } else if (event instanceof Event.RequestCompleted completed) {
            appendRequestCompleted(unixUs, completed);
        } else if (event instanceof Event.RequestAdmitted admitted) {
            appendRequestAdmitted(unixUs, admitted);
        } else if (event instanceof Event.RequestRejected rejected) {
            appendRequestRejected(unixUs, rejected);
        } else {
            return false;
        }
        return true;
    }

    /** Appends the line of an event that concerns the proxy or its endpoints; some of these events have no line. */
    private void appendProxyEvent(long unixUs, Event event) {
        if (event instanceof Event.EndpointsChanged changed) {
            appendEndpointsChanged(unixUs, changed);
        } else if (event instanceof Event.Purged purged) {
            appendPurged(unixUs, purged);
        } else if (event instanceof Event.EndpointEjected ejected) {
            appendLine(unixUs, "ejected", ejected.server(), ejected.healthCheckFailed(), ejected.pauseUs());
        } else if (event instanceof Event.EndpointRecovered recovered) {
            appendLine(unixUs, "returned", recovered.server());
        } else if (event instanceof Event.ProxyStarted started) {
            appendLine(unixUs, "started", started.zone());
        } else if (event instanceof Event.Heartbeat heartbeat) {
            appendLine(unixUs, "pulse", heartbeat.openRequests(), heartbeat.queuedTasks(), heartbeat.maxTimerDelayUs());
        } else if (event instanceof Event.EventsLost lost) {
            appendLine(unixUs, "lost", lost.events());
        }
    }

    private void appendAttemptSent(long unixUs, Event.AttemptSent sent) {
        appendLine(
                unixUs,
                "sent",
                Long.toHexString(sent.request()),
                sent.attempt(),
                sent.serviceClass(),
                sent.server(),
                sent.source());
    }

    private void appendAttemptEnded(long unixUs, Event.AttemptEnded ended) {
        appendLine(
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

    private void appendRequestCompleted(long unixUs, Event.RequestCompleted completed) {
        appendLine(
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

    private void appendRequestAdmitted(long unixUs, Event.RequestAdmitted admitted) {
        appendLine(
                unixUs,
                "taken",
                Long.toHexString(admitted.request()),
                admitted.serviceClass(),
                Long.toHexString(admitted.object()),
                admitted.group());
    }

    private void appendRequestRejected(long unixUs, Event.RequestRejected rejected) {
        appendLine(unixUs, "turned", rejected.request(), rejected.serviceClass(), StoredNames.of(rejected.kind()));
    }

    private void appendEndpointsChanged(long unixUs, Event.EndpointsChanged changed) {
        for (ListedEndpoint endpoint : changed.servers()) {
            appendLine(
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

    private void appendPurged(long unixUs, Event.Purged purged) {
        appendLine(
                unixUs,
                "purged",
                purged.index(),
                purged.object() == null ? null : Long.toHexString(purged.object()),
                purged.group(),
                purged.unixMs());
    }

    private void appendLine(long unixUs, String kind, Object... fields) {
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
