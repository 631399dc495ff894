package petrelplank.record;

import java.io.PrintStream;

/**
 * Events as lines of text, for a look at a fleet through its logs alone, where no disk is left: {@code serve --trace}.
 * A line is {@code @}, the Unix microsecond, the kind, then its fields, separated by tabs; what is absent is {@code -};
 * {@code lost} tells how many events the writer could not keep up with. Of the writer's thread alone.
 */
final class TraceLines implements RecordOutput {
    /** So many characters are written together. */
    private static final int BATCH = 4096;

    private final PrintStream out;
    private final StringBuilder lines = new StringBuilder(2 * BATCH);

    TraceLines(PrintStream out) {
        this.out = out;
    }

    @Override
    public void append(Entry entry) {
        long unixUs = entry.unixUs();
        Event event = entry.event();
        if (event instanceof Event.AttemptSent e) {
            line(unixUs, "sent", Long.toHexString(e.request()), e.attempt(), e.type(), e.server(), e.source());
        } else if (event instanceof Event.AttemptEnded e) {
            line(
                    unixUs,
                    "ended",
                    Long.toHexString(e.request()),
                    e.attempt(),
                    e.type(),
                    e.server(),
                    e.source(),
                    StoredNames.of(e.status()),
                    StoredNames.of(e.cacheStatus()),
                    e.latencyUs(),
                    e.sourceWaitUs(),
                    e.bytes(),
                    e.load());
        } else if (event instanceof Event.RequestCompleted e) {
            line(
                    unixUs,
                    "answered",
                    Long.toHexString(e.request()),
                    e.type(),
                    StoredNames.of(e.kind()),
                    e.latencyUs(),
                    e.bytes(),
                    e.inTime(),
                    e.why() == null ? null : StoredNames.of(e.why()));
        } else if (event instanceof Event.RequestAdmitted e) {
            line(unixUs, "taken", Long.toHexString(e.request()), e.type(), Long.toHexString(e.object()), e.group());
        } else if (event instanceof Event.EndpointsChanged e) {
            for (ListedEndpoint s : e.servers()) {
                line(
                        unixUs,
                        "listed",
                        e.index(),
                        s.id(),
                        s.zone(),
                        s.kind(),
                        StoredNames.of(s.state()),
                        s.weight(),
                        s.startedUs());
            }
        } else if (event instanceof Event.Purged e) {
            line(
                    unixUs,
                    "purged",
                    e.index(),
                    e.object() == null ? "-" : Long.toHexString(e.object()),
                    e.group(),
                    e.unixMs());
        } else if (event instanceof Event.EndpointEjected e) {
            line(unixUs, "ejected", e.server(), e.trial(), e.pauseUs());
        } else if (event instanceof Event.EndpointRecovered e) {
            line(unixUs, "returned", e.server());
        } else if (event instanceof Event.ProxyStarted e) {
            line(unixUs, "started", e.zone());
        } else if (event instanceof Event.Heartbeat e) {
            line(unixUs, "pulse", e.open(), e.queued(), e.lateUs());
        } else if (event instanceof Event.EventsLost e) {
            line(unixUs, "lost", e.events());
        } else if (event instanceof Event.RequestRejected e) {
            line(unixUs, "turned", e.request(), e.type(), StoredNames.of(e.kind()));
        }
        if (lines.length() >= BATCH) {
            flush();
        }
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
