package petrelplank.proxy;

import petrelplank.routing.TerminationReason;

/** Records nothing; used when records are off. */
final class NoOpEventRecorder implements EventRecorder {
    @Override
    public void requestAdmitted(Exchange exchange) {}

    @Override
    public void requestRejected(ClientRequest request, ClientResponse.Kind kind) {}

    @Override
    public void attemptSent(Attempt attempt) {}

    @Override
    public void attemptEnded(Attempt attempt, UpstreamResponse response, long latencyUs) {}

    @Override
    public void requestTerminated(String requestId, TerminationReason reason) {}

    @Override
    public void requestCompleted(Exchange exchange, ClientResponse response) {}

    @Override
    public void clientDisconnected(Exchange exchange) {}

    @Override
    public void discoveryEvent(DiscoveryEvent event) {}

    @Override
    public void endpointEjected(String server, boolean healthCheckFailed, long pauseUs) {}

    @Override
    public void endpointRecovered(String server) {}

    @Override
    public void heartbeat(OpenRequests openRequests) {}

    @Override
    public void drainStarted(long completionDeadlineUs) {}

    @Override
    public void proxyStopped() {}
}
