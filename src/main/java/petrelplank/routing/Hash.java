package petrelplank.routing;

/** Hash functions, the same at every gateway. */
public final class Hash {
    private Hash() {}

    /**
     * Spreads the bits of a number.
     *
     * @param x the number
     * @return its hash; 0 for 0
     */
    public static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** Hashes a text (FNV-1a). */
    static long fnv(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /**
     * A hash as a number.
     *
     * @param hash spread evenly
     * @return above 0 and below 1
     */
    public static double unit(long hash) {
        return ((hash >>> 11) + 0.5) / (1L << 53);
    }
}
