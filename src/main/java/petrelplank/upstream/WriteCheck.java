package petrelplank.upstream;

import petrelplank.proxy.Attempt;

/**
 * Decides at the last moment whether a command is written: when it has reached the head of the queue of its connection.
 * What its attempt was planned by may have changed while it waited for the connection or for the socket.
 */
interface WriteCheck {
    /** Whether the command of an attempt may be written now. Called on the I/O thread. */
    boolean mayBeWritten(Attempt attempt);

    /** Called on the I/O thread when a command has been skipped because it may not be written. */
    void skipped(UpstreamConnection connection, Attempt attempt);
}
