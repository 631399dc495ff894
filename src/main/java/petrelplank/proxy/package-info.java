/**
 * The request pipeline of the proxy, from a decoded client request to its one final response. A request passes these
 * stages: {@code RequestValidator} checks its fields, {@code AdmissionController} bounds how many are open,
 * {@code RoutingStage} hands it to the router, {@code AttemptDispatcher} sends the attempts that the router orders,
 * {@code ResponseForwarder} forwards the first usable upstream response, and {@code RequestCompletion} answers the
 * client. {@link petrelplank.proxy.EdgeProxy} wires the stages; {@link petrelplank.proxy.EventLoop} is the one thread
 * that owns all their state.
 */
package petrelplank.proxy;
