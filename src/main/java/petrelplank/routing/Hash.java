package petrelplank.routing;

/** Hash functions, the same at every gateway. */
public final class Hash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hash() {}

    /**
     * Spreads the bits of a number (the finalizer of SplitMix64).
     *
     * @param number the number
     * @return its hash; 0 for 0
     */
    public static long mix(long number) {
        long hash = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    /** Hashes a text (FNV-1a over its characters). */
    static long fnv(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
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
