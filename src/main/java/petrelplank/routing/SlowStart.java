package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/**
 * Slow start of endpoints that have just started. Each has a token bucket of transfer time, sized so that all proxies
 * together stay below the multiple of the endpoint's current capacity that overloads it. Every attempt that is sent to
 * the endpoint, or names it as fill source, is charged. Without weights, the capacity is estimated from the load that
 * this proxy sends to endpoints that have finished slow start.
 */
final class SlowStart {
    /**
     * Fraction of the load allowed by the overload rule that is used, for the burst and for the rate each. Below one
     * half, so that burst and rate together stay within the rule.
     */
    private static final double BUDGET_FRACTION = 0.45;
    /** The refill rate of an endpoint that has finished slow start or that no rule limits. */
    private static final double UNLIMITED = Double.MAX_VALUE;

    private final RouterSettings settings;
    private final PlatformRules rules;
    private final EndpointRegistry endpoints;
    private final ZoneLink zoneLink;
    private final double windowUs;
    private final double zoneProxyCount;
    private double measuredCacheRate;
    private double measuredParentRate;

    SlowStart(RouterSettings settings, EndpointRegistry endpoints, ZoneLink zoneLink, double windowUs) {
        this.settings = settings;
        this.rules = settings.rules();
        this.endpoints = endpoints;
        this.zoneLink = zoneLink;
        this.windowUs = windowUs;
        this.zoneProxyCount = settings.zoneProxyCount();
    }

    /**
     * Returns the fraction of its capacity that an endpoint has now: the configured initial fraction at its start,
     * rising linearly to 1.
     */
    double capacityFraction(Endpoint endpoint, long now) {
        boolean isParent = endpoint.role == Role.PARENT;
        long durationUs = isParent ? rules.parentSlowStartDurationUs() : rules.slowStartDurationUs();
        double initialFraction = isParent ? rules.parentSlowStartInitialFraction() : rules.slowStartInitialFraction();
        if (endpoint.role == Role.ORIGIN || endpoint.startedUs == 0 || now - endpoint.startedUs >= durationUs) {
            return 1;
        }
        return initialFraction + (1 - initialFraction) * Math.max(0, now - endpoint.startedUs) / durationUs;
    }

    /** Whether the endpoint's budget covers the transfer time. */
    boolean canAfford(Endpoint endpoint, double transferUs, long now) {
        return !refillIfLimited(endpoint, now) || endpoint.slowStartBucket.holds(transferUs);
    }

    /** Deducts the transfer time from the endpoint's budget, which may become negative. */
    void charge(Endpoint endpoint, double transferUs, long now) {
        if (refillIfLimited(endpoint, now)) {
            endpoint.slowStartBucket.take(transferUs);
        }
    }

    /** Measures the load that this proxy sends to endpoints after their slow start; used if weights are unknown. */
    void measureLoad(long now) {
        measuredCacheRate = endpoints.localCaches().stream()
                .filter(cache -> capacityFraction(cache, now) >= 1)
                .mapToDouble(cache -> cache.sentTransferRate.read(now, windowUs))
                .average()
                .orElse(measuredCacheRate);
        if (!endpoints.parents().isEmpty()) {
            measuredParentRate = Math.max(
                    measuredParentRate,
                    zoneLink.fillRate(now) / endpoints.parents().size());
        }
    }

    /** Refills the endpoint's bucket; returns false if the endpoint has no limit. */
    private boolean refillIfLimited(Endpoint endpoint, long now) {
        double rate = refillRate(endpoint, now);
        if (rate == UNLIMITED) {
            return false;
        }
        double bucketCapacityUs = rate * rules.overloadDurationUs();
        // An endpoint that started before this proxy knew it gets no initial burst: if several proxies restarted
        // together, each would send one.
        double initialUs = endpoint.startedUs < endpoints.firstUpdateUs() ? 0 : bucketCapacityUs;
        endpoint.slowStartBucket.refill(now, rate, bucketCapacityUs, initialUs);
        return true;
    }

    /** Returns the transfer time that may be sent to the endpoint per unit of time, or {@link #UNLIMITED}. */
    private double refillRate(Endpoint endpoint, long now) {
        double fraction = capacityFraction(endpoint, now);
        boolean isParent = endpoint.role == Role.PARENT;
        double overloadMultiple = isParent ? rules.parentOverloadMultiple() : rules.overloadMultiple();
        if (fraction >= 1 || overloadMultiple <= 0 || rules.overloadDurationUs() <= 0) {
            return UNLIMITED;
        }
        return BUDGET_FRACTION * overloadMultiple * fraction * capacityShare(endpoint, isParent);
    }

    /** Returns this proxy's share of the endpoint's capacity. */
    private double capacityShare(Endpoint endpoint, boolean isParent) {
        return settings.weightMeaning() != WeightMeaning.NONE
                ? endpoint.weight / (isParent ? settings.proxyCount() : zoneProxyCount)
                : Math.max(isParent ? measuredParentRate : measuredCacheRate, 1.0 / settings.proxyCount());
    }
}
