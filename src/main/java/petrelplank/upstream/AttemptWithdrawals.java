package petrelplank.upstream;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.ResponseForwarder;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;

/**
 * Withdraws attempts that wait for a connection, for a socket that takes no more, or for an abort to be written, and
 * whose plan no longer holds. They end with {@link AttemptStatus#WITHDRAWN}. Event thread only, except for the methods
 * of {@link WriteCheck}.
 */
final class AttemptWithdrawals implements WriteCheck {
    /** Time in which the I/O thread writes a command that it has taken, unless the socket takes no more. */
    private static final long TAKEN_COMMAND_GRACE_US = 20_000;

    private final EventLoop loop;
    private final ResponseForwarder forwarder;
    private final Map<Attempt, UpstreamConnection> connectionsByAttempt;
    private final PendingAborts pendingAborts;

    /**
     * Creates the withdrawals of a pool.
     *
     * @param loop the event loop that all state is confined to
     * @param forwarder notified when an attempt ends
     * @param connectionsByAttempt the connection of each attempt in flight; shared with the pool
     * @param pendingAborts the attempts that are held back; shared with the pool
     */
    AttemptWithdrawals(
            EventLoop loop,
            ResponseForwarder forwarder,
            Map<Attempt, UpstreamConnection> connectionsByAttempt,
            PendingAborts pendingAborts) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.connectionsByAttempt = connectionsByAttempt;
        this.pendingAborts = pendingAborts;
    }

    @Override
    public boolean mayBeWritten(Attempt attempt) {
        return attempt.mayBeWritten(loop.clockUs());
    }

    @Override
    public void skipped(UpstreamConnection connection, Attempt attempt) {
        loop.post(() -> {
            if (connectionsByAttempt.get(attempt) == connection && connection.withdraw(attempt)) {
                end(connection, attempt);
            }
        });
    }

    /** See {@link petrelplank.proxy.UpstreamClient#withdrawUnwritten}. */
    void withdrawUnwritten(Predicate<Attempt> condition) {
        // Copied, since the end of an attempt may send others.
        List<Attempt> waiting = connectionsByAttempt.entrySet().stream()
                .filter(entry ->
                        condition.test(entry.getKey()) && entry.getValue().isUnwritten(entry.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        List<Attempt> heldBack = pendingAborts.removeHeldBack(condition);
        waiting.forEach(attempt -> {
            if (!withdraw(attempt)) {
                loop.schedule(loop.nowUs() + TAKEN_COMMAND_GRACE_US, () -> closeIfUnwritten(attempt));
            }
        });
        heldBack.forEach(this::reportWithdrawn);
    }

    /** See {@link petrelplank.proxy.UpstreamClient#withdrawUnlessWritten}. */
    void withdrawUnlessWritten(Attempt attempt) {
        UpstreamConnection connection = connectionsByAttempt.get(attempt);
        if (connection == null) {
            pendingAborts.removeHeldBack(attempt::equals).forEach(this::reportWithdrawn);
        } else if (!withdraw(attempt) && !connection.isWritten(attempt)) {
            connection.close();
        }
    }

    /**
     * Ends an attempt whose command is still queued.
     *
     * @return false if the attempt has ended, or the I/O thread has taken its command
     */
    private boolean withdraw(Attempt attempt) {
        UpstreamConnection connection = connectionsByAttempt.get(attempt);
        attempt.revoke();
        boolean withdrawn = connection != null && connection.withdraw(attempt);
        if (withdrawn) {
            end(connection, attempt);
        }
        return withdrawn;
    }

    /**
     * Closes the connection of an attempt whose command the I/O thread has taken and cannot write: it would follow as
     * soon as the server reads again. The close ends the attempt.
     */
    private void closeIfUnwritten(Attempt attempt) {
        UpstreamConnection connection = connectionsByAttempt.get(attempt);
        if (connection != null && connection.isUnwritten(attempt)) {
            connection.close();
        }
    }

    private void end(UpstreamConnection connection, Attempt attempt) {
        connectionsByAttempt.remove(attempt);
        reportWithdrawn(attempt);
        connection.closeIfDrained();
    }

    private void reportWithdrawn(Attempt attempt) {
        forwarder.attemptEnded(attempt, UpstreamResponse.ended(attempt.request().id(), AttemptStatus.WITHDRAWN));
    }
}
