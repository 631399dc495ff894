package petrelplank.routing;

import java.util.List;

/**
 * Estimates the transfer time of a response at a client's rate: from its size if that is known, otherwise from the mean
 * of the service class, which is learned from responses.
 */
final class TransferTimeEstimator {
    /** Weight of a new sample in a moving average. */
    private static final double SMOOTHING = 0.05;
    /** Initial estimate for a class, as a fraction of its latency objective. */
    private static final double INITIAL_OBJECTIVE_FRACTION = 1 / 4.0;

    private static final double US_PER_SECOND = 1e6;

    private final double maxResponseKbPerSecond;
    private final double[] meanTransferUs;

    TransferTimeEstimator(List<ServiceClass> classes, double maxResponseKbPerSecond) {
        this.maxResponseKbPerSecond = maxResponseKbPerSecond;
        this.meanTransferUs = new double[classes.size()];
        for (int i = 0; i < meanTransferUs.length; i++) {
            meanTransferUs[i] = classes.get(i).latencyObjectiveUs() * INITIAL_OBJECTIVE_FRACTION;
        }
    }

    double meanTransferUs(int classIndex) {
        return meanTransferUs[classIndex];
    }

    /** Returns the estimated transfer time of a new request, and adds it to the mean of the class. */
    double recordRequest(int classIndex, double sizeKb) {
        double transferUs = transferUs(sizeKb, meanTransferUs[classIndex]);
        addSample(classIndex, transferUs);
        return transferUs;
    }

    /**
     * Updates the request's transfer time from the size of the response. If the size was not known from the request,
     * also updates the mean of the class, from the size of the response or from the latency of a hit at a cache with
     * spare capacity.
     */
    void recordOutcome(RequestState request, Endpoint endpoint, AttemptOutcome outcome) {
        boolean unloadedHit = endpoint.hasReportedSpareCapacity() && outcome.cacheStatus() == CacheStatus.HIT;
        boolean informative = outcome.sizeKb() > 0 || unloadedHit;
        request.transferUs = transferUs(outcome.sizeKb(), request.transferUs);
        if (informative && request.clientRequest.sizeKb() <= 0 && outcome.status() == AttemptStatus.OK) {
            addSample(request.classIndex, transferUs(outcome.sizeKb(), outcome.latencyUs()));
        }
    }

    private void addSample(int classIndex, double transferUs) {
        meanTransferUs[classIndex] += SMOOTHING * (transferUs - meanTransferUs[classIndex]);
    }

    private double transferUs(double sizeKb, double fallbackUs) {
        return sizeKb > 0 && maxResponseKbPerSecond > 0 ? sizeKb / maxResponseKbPerSecond * US_PER_SECOND : fallbackUs;
    }
}
