package petrelplank.routing;

/** What an instance of the router is told at its start. All durations are microseconds. */
public interface Site {
    /** How far a class may be repeated. */
    enum Repeat {
        /** Any number of times. */
        FREE,
        /** Inside its group of servers and its window only. */
        KEYED,
        /** Only when no earlier attempt can have run. */
        NEVER
    }

    /** Which servers drop the repeats of a keyed request. */
    enum Scope {
        /** All of them. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL
    }

    /** Which caches may be the source of a fill. */
    enum Siblings {
        /** None. */
        NONE,
        /** Those of the own zone. */
        OWN_ZONE,
        /** Any. */
        ANY
    }

    /** How much the answers tell; see {@link Events.Note}. */
    enum Notes {
        /** Nothing. */
        NONE,
        /** Hits and fills, not failures. */
        HITS,
        /** Everything, with the wait for the source. */
        ALL
    }

    /** What a server's weight means. */
    enum Weights {
        /** Nothing: all are alike. */
        NONE,
        /** Its link out, in answers at full pace. */
        NOMINAL,
        /** The same, roughly. */
        ROUGH,
        /** The same over its load, a while back. */
        LIVE
    }

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
    record ServiceClass(
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

    /**
     * What may be done, and how much.
     *
     * @param attempts most attempts for one request
     * @param secondCopies two attempts of one request may be out together
     * @param cancel {@link Router.Actions#cancel} is allowed
     * @param probes {@link Router.Actions#probe} is allowed
     * @param messages {@link Router.Actions#tell} is allowed
     * @param retryAfter clients are told when to come back
     * @param maxRetryAfterUs the longest time that clients follow
     * @param joins fills under way may be joined
     * @param direct parents and the origin take attempts too
     * @param siblings caches that may be a source
     */
    record Allowed(
            int attempts,
            boolean secondCopies,
            boolean cancel,
            boolean probes,
            boolean messages,
            boolean retryAfter,
            long maxRetryAfterUs,
            boolean joins,
            boolean direct,
            Siblings siblings) {
        /** Checks the figures. */
        public Allowed {
            Checks.require(attempts > 0, "attempts (must be above 0)", attempts);
            Checks.require(maxRetryAfterUs >= 0, "maxRetryAfterUs (must be 0 or more)", maxRetryAfterUs);
            Checks.require(siblings != null, "siblings", siblings);
        }
    }

    /**
     * Figures of the rules.
     *
     * @param drainGraceUs sends to a draining or gone server stop within this
     * @param coldFrom part of its capacity with which a cache starts, at least
     * @param warmUs it has all of it after this, at most
     * @param fallMultiple sent more than this multiple of its present capacity
     * @param fallUs for this long, a cold server falls over
     * @param parentColdFrom as {@code coldFrom}, for parents
     * @param parentWarmUs as {@code warmUs}, for parents
     * @param parentFallMultiple as {@code fallMultiple}, for parents
     * @param originFallMultiple overload at which the origin stops for a while; 0 for none
     * @param originFallUs for how long it bears that
     * @param purgeGraceUs time to heed a purge
     * @param purgeDoneUs after this no older copy is left anywhere
     * @param askEveryUs where the roster must be asked for: at least this often
     */
    record Rules(
            long drainGraceUs,
            double coldFrom,
            long warmUs,
            double fallMultiple,
            long fallUs,
            double parentColdFrom,
            long parentWarmUs,
            double parentFallMultiple,
            double originFallMultiple,
            long originFallUs,
            long purgeGraceUs,
            long purgeDoneUs,
            long askEveryUs) {
        /** Checks the figures. */
        public Rules {
            Checks.require(drainGraceUs >= 0, "drainGraceUs (must be 0 or more)", drainGraceUs);
            Checks.require(coldFrom >= 0 && coldFrom <= 1, "coldFrom (must be 0 to 1)", coldFrom);
            Checks.require(warmUs >= 0, "warmUs (must be 0 or more)", warmUs);
            Checks.require(fallMultiple >= 0, "fallMultiple (must be 0 or more)", fallMultiple);
            Checks.require(fallUs >= 0, "fallUs (must be 0 or more)", fallUs);
            Checks.require(
                    parentColdFrom >= 0 && parentColdFrom <= 1, "parentColdFrom (must be 0 to 1)", parentColdFrom);
            Checks.require(parentWarmUs >= 0, "parentWarmUs (must be 0 or more)", parentWarmUs);
            Checks.require(parentFallMultiple >= 0, "parentFallMultiple (must be 0 or more)", parentFallMultiple);
            Checks.require(originFallMultiple >= 0, "originFallMultiple (must be 0 or more)", originFallMultiple);
            Checks.require(originFallUs >= 0, "originFallUs (must be 0 or more)", originFallUs);
            Checks.require(purgeGraceUs >= 0, "purgeGraceUs (must be 0 or more)", purgeGraceUs);
            Checks.require(purgeDoneUs >= 0, "purgeDoneUs (must be 0 or more)", purgeDoneUs);
            Checks.require(askEveryUs >= 0, "askEveryUs (must be 0 or more)", askEveryUs);
        }
    }

    /**
     * One that requests are counted for.
     *
     * @param name its name, as requests carry it
     * @param allowancePerS requests a second over all gateways that count in full; what goes beyond is worth less
     */
    record Tenant(String name, double allowancePerS) {
        /** Checks the figures. */
        public Tenant {
            Checks.require(name != null && !name.isEmpty(), "tenant name", name);
            Checks.require(allowancePerS >= 0, "tenant " + name + " allowancePerS (must be 0 or more)", allowancePerS);
        }
    }
}
