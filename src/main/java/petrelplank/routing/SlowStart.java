package petrelplank.routing;

import petrelplank.routing.Endpoint.Role;

/**
 * Slow start of endpoints that have just started: a token bucket in transfer time for each, sized so that all gateways
 * together stay under the stated multiple of the endpoint's least capacity. All that is sent to it or names it as the
 * source counts. Without weights, capacity is what warm endpoints take from this gateway.
 */
final class SlowStart {
    /** Part of the overload rule that is used, as burst and as rate each: under a half, so that both together fit. */
    private static final double MARGIN = 0.45;
    /** The limit of an endpoint that is warm, or that no rule limits. */
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

    /** Part of its capacity that an endpoint can be trusted with: the stated least, rising in a line to all. */
    double capacityFraction(Endpoint endpoint, long now) {
        boolean parent = endpoint.role == Role.PARENT;
        long durationUs = parent ? rules.parentSlowStartUs() : rules.slowStartUs();
        double from = parent ? rules.parentSlowStartFrom() : rules.slowStartFrom();
        if (endpoint.role == Role.ORIGIN || endpoint.startedUs == 0 || now - endpoint.startedUs >= durationUs) {
            return 1;
        }
        return from + (1 - from) * Math.max(0, now - endpoint.startedUs) / durationUs;
    }

    /** Whether the endpoint's budget has room for so much transfer time. */
    boolean canAfford(Endpoint endpoint, double transferUs, long now) {
        return !refill(endpoint, now) || endpoint.slowStartBucket.holds(transferUs);
    }

    /** Takes the transfer time off the endpoint's budget, also where there is less left. */
    void charge(Endpoint endpoint, double transferUs, long now) {
        if (refill(endpoint, now)) {
            endpoint.slowStartBucket.take(transferUs);
        }
    }

    /** Learns what warm endpoints take from this gateway, for sites that tell no weights. */
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

    /** Refills the endpoint's bucket; false where it has no limit. */
    private boolean refill(Endpoint endpoint, long now) {
        double limit = limit(endpoint, now);
        if (limit == UNLIMITED) {
            return false;
        }
        double capacityUs = limit * rules.overloadUs();
        // Guards against gateways that restart together, and would bring a burst each.
        double initialUs = endpoint.startedUs < endpoints.firstUpdateUs() ? 0 : capacityUs;
        endpoint.slowStartBucket.refill(now, limit, capacityUs, initialUs);
        return true;
    }

    private double limit(Endpoint endpoint, long now) {
        double fraction = capacityFraction(endpoint, now);
        boolean parent = endpoint.role == Role.PARENT;
        double multiple = parent ? rules.parentOverloadMultiple() : rules.overloadMultiple();
        if (fraction >= 1 || multiple <= 0 || rules.overloadUs() <= 0) {
            return UNLIMITED;
        }
        return MARGIN * multiple * fraction * capacityShare(endpoint, parent);
    }

    /** This gateway's share of the endpoint's capacity. */
    private double capacityShare(Endpoint endpoint, boolean parent) {
        return settings.weightMeaning() != WeightMeaning.NONE
                ? endpoint.weight / (parent ? settings.gateways() : zoneGateways)
                : Math.max(parent ? parentRate : edgeRate, 1.0 / settings.gateways());
    }
}
