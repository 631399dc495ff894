package petrelplank.routing;

/** Chooses the endpoint, the fill source and the fill mode of the next attempt of a request. */
final class AttemptPlanner {
    private final boolean directToParents;
    private final EndpointRegistry endpoints;
    private final CacheSelector caches;
    private final FillSourceSelector sources;
    private final OriginLoadShedder originShedder;
    private final ConcurrencyLimiter limiter;
    private final CopyLocations copies;

    AttemptPlanner(
            boolean directToParents,
            EndpointRegistry endpoints,
            CacheSelector caches,
            FillSourceSelector sources,
            OriginLoadShedder originShedder,
            ConcurrencyLimiter limiter,
            CopyLocations copies) {
        this.directToParents = directToParents;
        this.endpoints = endpoints;
        this.caches = caches;
        this.sources = sources;
        this.originShedder = originShedder;
        this.limiter = limiter;
        this.copies = copies;
    }

    /** Returns the route of the next attempt, or the reason why there is none. */
    AttemptRoute plan(RequestState request, long now) {
        request.originAccess = originAccess(request, now);
        return request.isWrite() ? planWrite(request, now) : planRead(request, now);
    }

    private OriginAccess originAccess(RequestState request, long now) {
        if (request.originAccess.isSampled()) {
            return OriginAccess.GRANTED;
        }
        boolean withheld = originShedder.isShedding(now) && !request.isWrite();
        return withheld ? OriginAccess.WITHHELD : OriginAccess.UNRESTRICTED;
    }

    /**
     * Routes a write, which runs at the origin: directly if that is allowed and the origin is usable, else through
     * another endpoint.
     */
    private AttemptRoute planWrite(RequestState request, long now) {
        Endpoint origin = endpoints.isOriginUp() ? endpoints.origin() : null;
        Endpoint endpoint;
        if (!directToParents) {
            endpoint = caches.select(request, now);
        } else if (origin != null && !request.excludedEndpoints.contains(origin)) {
            endpoint = origin;
        } else {
            endpoint = sources.select(request, now);
        }
        if (endpoint == null) {
            return AttemptRoute.rejected(TerminationReason.NO_ENDPOINT_AVAILABLE);
        }
        return AttemptRoute.to(endpoint, origin == null ? endpoint : origin, FillMode.NONE);
    }

    /**
     * Routes a read to a cache. If no cache can take it, it goes directly to the source where that is allowed, unless a
     * cache was skipped because it is at its limit.
     */
    private AttemptRoute planRead(RequestState request, long now) {
        Endpoint source = sources.select(request, now);
        Endpoint cache = caches.select(request, now);
        if (cache != null) {
            return planCacheRead(request, cache, source);
        }
        boolean mayBypassCaches = directToParents && !request.originAccess.isOnlyIfCached() && !request.cacheAtLimit;
        if (mayBypassCaches && source != null && limiter.mayStartFill(request)) {
            Endpoint origin = endpoints.origin();
            return origin == null
                    ? AttemptRoute.to(source, source, FillMode.NONE)
                    : AttemptRoute.to(source, origin, FillMode.FULL);
        }
        return AttemptRoute.rejected(TerminationReason.NO_ENDPOINT_AVAILABLE);
    }

    /**
     * Plans a read at a cache. A cache that may lack a copy fills it from the source; where no fill is allowed, the
     * request gets one lookup of the copies that the cache has.
     */
    private AttemptRoute planCacheRead(RequestState request, Endpoint cache, Endpoint source) {
        boolean onlyIfCached = request.originAccess.isOnlyIfCached();
        boolean holdsCopy = !onlyIfCached && copies.holds(cache, request.objectKey);
        if (source == null || !holdsCopy && !limiter.mayStartFill(request)) {
            return planCacheLookup(request, cache);
        }
        if (holdsCopy) {
            return AttemptRoute.to(cache, source, FillMode.NONE);
        }
        if (onlyIfCached) {
            markLookupDone(request);
            return AttemptRoute.to(cache, source, FillMode.ONLY_IF_CACHED);
        }
        return AttemptRoute.to(cache, source, FillMode.FULL);
    }

    private static AttemptRoute planCacheLookup(RequestState request, Endpoint cache) {
        if (request.cacheLookupDone) {
            return AttemptRoute.rejected(TerminationReason.FILL_NOT_ALLOWED);
        }
        markLookupDone(request);
        return AttemptRoute.to(cache, cache, FillMode.NONE);
    }

    private static void markLookupDone(RequestState request) {
        request.cacheLookupDone = true;
        request.staleAllowed = true;
    }
}
