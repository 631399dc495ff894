package petrelplank.routing;

/** Hash functions that give the same results in every proxy. */
public final class Hash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hash() {}

    /**
     * Hashes a number by mixing its bits (the finalizer of SplitMix64).
     *
     * @param number the number to hash
     * @return the hash; 0 for 0
     */
    public static long mix(long number) {
        long hash = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    /** Hashes a string (FNV-1a over its UTF-16 code units instead of bytes). */
    static long fnv1a(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Maps a hash to the open interval from 0 to 1.
     *
     * @param hash a uniformly distributed hash
     * @return a number above 0 and below 1
     */
    public static double toUnitInterval(long hash) {
        return ((hash >>> 11) + 0.5) / (1L << 53);
    }
}
