package petrelplank.routing;

/**
 * A class of requests.
 *
 * @param name its name
 * @param aimUs an answer within this earns the full worth
 * @param aimStretch the aim grows by this multiple of the request's sending time
 * @param deadlineUs how long a client waits over all its tries
 * @param worth worth of an answer in time
 * @param lateWorth part of the worth that a later answer earns
 * @param repeat how far it may be repeated
 * @param scope for keyed classes: who drops repeats
 * @param windowUs for keyed classes: for how long, from the first send that may have run
 * @param streamed whether {@link Router#streamStarted} is reported
 * @param freshUs how long a copy is fresh; 0 for no limit
 * @param graceUs how much older than fresh a copy may still be asked for
 * @param oldCopyWorth part of the worth that such an old copy earns
 * @param write runs at the origin and is never kept
 */
public record ServiceClass(
        String name,
        long aimUs,
        double aimStretch,
        long deadlineUs,
        double worth,
        double lateWorth,
        Repeat repeat,
        Scope scope,
        long windowUs,
        boolean streamed,
        long freshUs,
        long graceUs,
        double oldCopyWorth,
        boolean write) {
    /** Checks the figures. */
    public ServiceClass {
        Checks.require(name != null, "class name", name);
        Checks.require(aimUs > 0, name + " aimUs (must be above 0)", aimUs);
        Checks.require(aimStretch >= 0, name + " aimStretch (must be 0 or more)", aimStretch);
        Checks.require(deadlineUs >= aimUs, name + " deadlineUs (must be at least aimUs)", deadlineUs);
        Checks.require(worth >= 0, name + " worth (must be 0 or more)", worth);
        Checks.require(repeat != null, name + " repeat", repeat);
        Checks.require(scope != null, name + " scope", scope);
        Checks.require(windowUs >= 0, name + " windowUs (must be 0 or more)", windowUs);
        Checks.require(freshUs >= 0, name + " freshUs (must be 0 or more)", freshUs);
        Checks.require(graceUs >= 0, name + " graceUs (must be 0 or more)", graceUs);
    }
}
