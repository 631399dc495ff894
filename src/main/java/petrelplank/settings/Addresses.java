package petrelplank.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Reads addresses written as {@code host:port}. */
public final class Addresses {
    /** Digits of an IP address alone: a name would have to be looked up, and the platform has no DNS. */
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[?[0-9a-fA-F:.]+]?");

    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param text an IP address, a colon and a port
     * @return the address; {@link FormatException} where the text is none
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        if (!IP_ADDRESS.matcher(host).matches()) {
            throw notAnAddress(text);
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw notAnAddress(text);
        }
    }

    private static FormatException notAnAddress(String text) {
        return new FormatException('"' + text + "\" is no address and port");
    }
}
