package petrelplank.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Takes in a request: its class, its expected transfer time, and the part of the limits that it may use. */
final class RequestAdmission {
    /** Least part of the limits, for requests of long transfers and for those over a tenant's quota. */
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

    /** The state of a new request; null where its class is unknown. */
    RequestState admit(RoutingRequest request, long now) {
        Integer classIndex = classIndexes.get(request.serviceClass());
        if (classIndex == null) {
            return null;
        }
        double transferUs = transferTimes.recordRequest(classIndex, request.sizeKb());
        ServiceClass serviceClass = settings.classes().get(classIndex);
        RequestState state = new RequestState(request, serviceClass, classIndex, transferUs, random.nextDouble());
        double relativeShare = transferTimes.classMeanUs(classIndex) / transferUs;
        state.limitShare = Math.max(MIN_LIMIT_SHARE, Math.min(1, relativeShare));
        if (quotas.recordAndCheckOverQuota(request.tenant(), now)) {
            state.limitShare *= Math.max(MIN_LIMIT_SHARE, settings.overQuotaWeightFactor());
        }
        return state;
    }
}
