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
    private static final double MARGIN = 0.45;
    /** The limit of an endpoint that has finished slow start or that no rule limits. */
    private static final double UNLIMITED = Double.MAX_VALUE;

    private final RouterSettings settings;
    private final PlatformRules rules;
    private final EndpointRegistry endpoints;
    private final ZoneLink zoneLink;
    private final double windowUs;
    private final double zoneGateways;
    private double edgeRate;
    private double parentRate;

    SlowStart(RouterSettings settings, EndpointRegistry endpoints, ZoneLink zoneLink, double windowUs) {
        this.settings = settings;
        this.rules = settings.rules();
        this.endpoints = endpoints;
        this.zoneLink = zoneLink;
        this.windowUs = windowUs;
        this.zoneGateways = settings.zoneGatewayCount();
    }

    /**
     * Returns the fraction of its capacity that an endpoint has now: the configured initial fraction at its start,
     * rising linearly to 1.
     */
    double capacityFraction(Endpoint endpoint, long now) {
        boolean parent = endpoint.role == Role.PARENT;
        long durationUs = parent ? rules.parentSlowStartUs() : rules.slowStartUs();
        double from = parent ? rules.parentSlowStartFrom() : rules.slowStartFrom();
        if (endpoint.role == Role.ORIGIN || endpoint.startedUs == 0 || now - endpoint.startedUs >= durationUs) {
            return 1;
        }
        return from + (1 - from) * Math.max(0, now - endpoint.startedUs) / durationUs;
    }

    /** Whether the endpoint's budget covers the transfer time. */
    boolean canAfford(Endpoint endpoint, double transferUs, long now) {
        return !refill(endpoint, now) || endpoint.slowStartBucket.holds(transferUs);
    }

    /** Deducts the transfer time from the endpoint's budget, which may become negative. */
    void charge(Endpoint endpoint, double transferUs, long now) {
        if (refill(endpoint, now)) {
            endpoint.slowStartBucket.take(transferUs);
        }
    }

    /** Measures the load that this proxy sends to endpoints after their slow start; used if weights are unknown. */
    void measure(long now) {
        edgeRate = endpoints.edges().stream()
                .filter(edge -> capacityFraction(edge, now) >= 1)
                .mapToDouble(edge -> edge.sentRate.read(now, windowUs))
                .average()
                .orElse(edgeRate);
        if (!endpoints.parents().isEmpty()) {
            parentRate = Math.max(
                    parentRate, zoneLink.fillRate(now) / endpoints.parents().size());
        }
    }

    /** Refills the endpoint's bucket; returns false if the endpoint has no limit. */
    private boolean refill(Endpoint endpoint, long now) {
        double limit = limit(endpoint, now);
        if (limit == UNLIMITED) {
            return false;
        }
        double capacityUs = limit * rules.overloadUs();
        // An endpoint that started before this proxy knew it gets no initial burst: if several proxies restarted
        // together, each would send one.
        double initialUs = endpoint.startedUs < endpoints.firstUpdateUs() ? 0 : capacityUs;
        endpoint.slowStartBucket.refill(now, limit, capacityUs, initialUs);
        return true;
    }

    /** Returns the transfer time that may be sent to the endpoint per unit of time, or {@link #UNLIMITED}. */
    private double limit(Endpoint endpoint, long now) {
        double fraction = capacityFraction(endpoint, now);
        boolean parent = endpoint.role == Role.PARENT;
        double multiple = parent ? rules.parentOverloadMultiple() : rules.overloadMultiple();
        if (fraction >= 1 || multiple <= 0 || rules.overloadUs() <= 0) {
            return UNLIMITED;
        }
        return MARGIN * multiple * fraction * capacityShare(endpoint, parent);
    }

    /** Returns this proxy's share of the endpoint's capacity. */
    private double capacityShare(Endpoint endpoint, boolean parent) {
        return settings.weightMeaning() != WeightMeaning.NONE
                ? endpoint.weight / (parent ? settings.gateways() : zoneGateways)
                : Math.max(parent ? parentRate : edgeRate, 1.0 / settings.gateways());
    }
}
