package petrelplank.transport;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Sizes of the send queues of all connections on one local port, as the Linux kernel lists them at one moment. Java has
 * no other way to learn how much of what was written to a socket the peer has not acknowledged yet.
 */
public final class SendQueues {
    private static final List<Path> TABLES = List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));
    private static final int LOCAL_COLUMN = 1;
    private static final int PEER_COLUMN = 2;
    private static final int QUEUES_COLUMN = 4;
    private static final int MIN_COLUMNS = QUEUES_COLUMN + 1;
    private static final int HEX_RADIX = 16;
    /** Start of an IPv4 address in the table of IPv6 sockets. */
    private static final String IPV4_MAPPED_PREFIX = hex(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, -1, -1});

    private final Map<String, Long> bytesByPeer = new HashMap<>();
    private boolean portListed;

    private SendQueues() {}

    /**
     * Reads the kernel's tables. They list the sockets of the whole machine, so that this may take some milliseconds.
     *
     * @param localPort the local port of the connections
     * @return the send queues; empty if the system has no such tables or does not list the port in them
     * @throws IOException if a table exists and cannot be read, for example for want of a file descriptor
     */
    public static SendQueues read(int localPort) throws IOException {
        return read(TABLES, localPort);
    }

    static SendQueues read(List<Path> tables, int localPort) throws IOException {
        SendQueues queues = new SendQueues();
        for (Path table : tables) {
            try (BufferedReader lines = Files.newBufferedReader(table, StandardCharsets.ISO_8859_1)) {
                queues.addAll(lines, portSuffix(localPort));
            } catch (NoSuchFileException e) {
                // This system does not list such sockets.
            }
        }
        return queues;
    }

    /** Returns the queues of no connection, as on a system that lists none. */
    public static SendQueues empty() {
        return new SendQueues();
    }

    private void addAll(BufferedReader lines, String portSuffix) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.contains(portSuffix)) {
                add(line, portSuffix);
            }
        }
    }

    private void add(String line, String portSuffix) {
        String[] columns = line.trim().split("\\s+");
        if (columns.length < MIN_COLUMNS || !columns[LOCAL_COLUMN].endsWith(portSuffix)) {
            return;
        }
        portListed = true;
        String peer = columns[PEER_COLUMN];
        String key = peer.startsWith(IPV4_MAPPED_PREFIX) ? peer.substring(IPV4_MAPPED_PREFIX.length()) : peer;
        String sendQueue = columns[QUEUES_COLUMN].split(":")[0];
        bytesByPeer.merge(key, Long.parseLong(sendQueue, HEX_RADIX), Math::max);
    }

    /**
     * Whether the kernel lists sockets on the local port.
     *
     * @return false if nothing is known of any connection
     */
    public boolean isPortListed() {
        return portListed;
    }

    /**
     * Bytes written to a connection that the peer's system has not acknowledged; a sent end of the stream counts as one.
     *
     * @param peer the remote address of the connection
     * @return the number of bytes; empty if the connection is not listed
     */
    public OptionalLong unacknowledgedBytes(InetSocketAddress peer) {
        Long bytes = bytesByPeer.get(hex(peer.getAddress().getAddress()) + portSuffix(peer.getPort()));
        return bytes == null ? OptionalLong.empty() : OptionalLong.of(bytes);
    }

    /** Formats an address as the kernel does: words of 32 bits in the machine's byte order. */
    private static String hex(byte[] address) {
        ByteBuffer words = ByteBuffer.wrap(address).order(ByteOrder.nativeOrder());
        StringBuilder text = new StringBuilder();
        while (words.remaining() >= Integer.BYTES) {
            text.append(String.format("%08X", words.getInt()));
        }
        return text.toString();
    }

    private static String portSuffix(int port) {
        return String.format(":%04X", port);
    }
}
