package petrelplank.routing;

import java.util.SplittableRandom;

/**
 * Creates the components of a {@link RequestRouter}, one for each concern. Each depends only on components that were
 * created before it.
 */
final class RouterComponents {
    final EndpointRegistry endpoints;
    final PurgeLog purges;
    final ObjectPopularity popularity;
    final RetryBudget retryBudget = new RetryBudget();
    final RetryPolicy retryPolicy;
    final SlowStart slowStart;
    final HedgingPolicy hedging;
    final RequestAdmission admission;
    final AttemptPlanner planner;
    final InFlightAttempts attempts;
    final AttemptSender sender;
    final UnresponsiveAttemptDetector unresponsiveDetector;
    final OutcomeRecorder outcomes;

    RouterComponents(RouterSettings settings, long seed, Router.Actions actions) {
        double windowUs = longestDeadlineUs(settings);
        CacheStatusDetail detail = settings.cacheStatusDetail();
        RoutingPermissions permissions = settings.permissions();
        SplittableRandom random = new SplittableRandom(seed);
        RateLimitedLog log = new RateLimitedLog(actions, windowUs / 10);
        OutlierDetector outliers = new OutlierDetector(settings.connectTimeoutUs(), actions, log);
        FailureAttribution attribution = new FailureAttribution(detail);
        TransferTimeEstimator transferTimes =
                new TransferTimeEstimator(settings.classes(), settings.maxResponseKbPerSecond());
        ZoneLink zoneLink = new ZoneLink(settings, windowUs);
        LoadReports loadReports = new LoadReports(settings, zoneLink);
        CopyLocations copies = new CopyLocations();
        purges = new PurgeLog(settings.rules().purgeDoneUs());
        popularity = new ObjectPopularity(2 * windowUs);
        retryPolicy = new RetryPolicy(settings, retryBudget);
        admission = new RequestAdmission(settings, transferTimes, new TenantQuotas(settings, windowUs), random);
        endpoints = new EndpointRegistry(settings, copies, loadReports);
        slowStart = new SlowStart(settings, endpoints, zoneLink, windowUs);
        hedging = new HedgingPolicy(permissions, actions);
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(settings.zoneProxyCount(), zoneLink);
        OriginLoadShedder shedder = new OriginLoadShedder(windowUs, log);
        OriginCallMonitor originCalls = new OriginCallMonitor(detail, endpoints, shedder, attribution, zoneLink);
        EligibleEndpoints eligible = new EligibleEndpoints(settings, endpoints, outliers);
        CacheSelector caches = new CacheSelector(eligible, slowStart, popularity, transferTimes);
        FillSourceSelector sources = new FillSourceSelector(eligible, endpoints, slowStart, random);
        planner =
                new AttemptPlanner(permissions.directToParents(), endpoints, caches, sources, shedder, limiter, copies);
        attempts = new InFlightAttempts(permissions, actions, limiter, slowStart, transferTimes, windowUs);
        sender = new AttemptSender(permissions, actions, attempts, hedging, retryPolicy, purges, popularity);
        unresponsiveDetector =
                new UnresponsiveAttemptDetector(hedging, retryBudget, attempts, originCalls, outliers, sources);
        FillOutcomeRecorder fillOutcomes = new FillOutcomeRecorder(
                detail, sources, new SlowSourceDetector(endpoints), outliers, attribution, zoneLink);
        EndpointOutcomeRecorder endpointOutcomes =
                new EndpointOutcomeRecorder(settings.connectTimeoutUs(), outliers, attribution, copies);
        outcomes = new OutcomeRecorder(
                loadReports, transferTimes, hedging, originCalls, limiter, attribution, fillOutcomes, endpointOutcomes);
    }

    /** Returns the window over which rates are measured; no request stays in flight longer. */
    private static double longestDeadlineUs(RouterSettings settings) {
        long longestUs = 0;
        for (ServiceClass serviceClass : settings.classes()) {
            longestUs = Math.max(longestUs, serviceClass.deadlineUs());
        }
        return longestUs;
    }
}
