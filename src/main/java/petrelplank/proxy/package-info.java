/**
 * The request pipeline of the proxy, from a decoded client request to its final response. A request passes these
 * stages: {@code RequestValidator} checks its fields, {@code AdmissionController} limits the number of open requests,
 * {@code RoutingStage} passes it to the router, {@code AttemptDispatcher} sends the attempts that the router requests,
 * {@code ResponseForwarder} forwards the first usable upstream response, and {@code RequestCompletion} sends the final
 * response to the client. {@link petrelplank.proxy.EdgeProxy} wires the stages together;
 * {@link petrelplank.proxy.EventLoop} is the single thread that owns all their state.
 */
package petrelplank.proxy;
