package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Creates the state of a new request: service class, expected transfer time and share of the concurrency limits. */
final class RequestAdmission {
    /** Lower bound of the share for long transfers, and of the factor for requests over their tenant's quota. */
    private static final double MIN_LIMIT_SHARE = 0.5;

    private final RouterSettings settings;
    private final TransferTimeEstimator transferTimes;
    private final TenantQuotas quotas;
    private final SplittableRandom random;
    private final Map<String, Integer> classIndexes = new HashMap<>();

    RequestAdmission(
            RouterSettings settings,
            TransferTimeEstimator transferTimes,
            TenantQuotas quotas,
            SplittableRandom random) {
        this.settings = settings;
        this.transferTimes = transferTimes;
        this.quotas = quotas;
        this.random = random;
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
    }

    /** Returns the state of a new request; null if its service class is unknown. */
    RequestState admit(RoutingRequest request, long now) {
        Integer classIndex = classIndexes.get(request.serviceClass());
        if (classIndex == null) {
            return null;
        }
        double transferUs = transferTimes.recordRequest(classIndex, request.sizeKb());
        ServiceClass serviceClass = settings.classes().get(classIndex);
        RequestState state = new RequestState(request, serviceClass, classIndex, transferUs, random.nextDouble());
        double relativeShare = transferTimes.meanTransferUs(classIndex) / transferUs;
        state.limitShare = Math.max(MIN_LIMIT_SHARE, Math.min(1, relativeShare));
        if (quotas.recordAndCheckOverQuota(request.tenant(), now)) {
            state.limitShare *= Math.max(MIN_LIMIT_SHARE, settings.overQuotaWeightFactor());
        }
        return state;
    }
}
