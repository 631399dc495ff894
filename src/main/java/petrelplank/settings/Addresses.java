package petrelplank.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses socket addresses written as an IP address, a colon and a port. */
public final class Addresses {
    /** Accepts only characters of IP addresses. Host names are rejected because the platform has no DNS. */
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[?[0-9a-fA-F:.]+]?");

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the address, such as {@code 10.0.0.1:9000} or {@code [::1]:9000}
     * @return the socket address
     * @throws FormatException if the text is not an IP address and a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        if (!IP_ADDRESS.matcher(host).matches()) {
            throw invalidAddress(text);
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw invalidAddress(text);
        }
    }

    private static FormatException invalidAddress(String text) {
        return new FormatException('"' + text + "\" should be an IP address and a port, such as 10.0.0.1:9000");
    }
}
