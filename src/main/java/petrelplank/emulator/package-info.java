/**
 * A deterministic emulation of a whole fleet in simulated time: clients, edge proxies, caches, parent caches, the
 * origin and the discovery service. The proxies are the production code; everything around them is a model.
 * {@link petrelplank.emulator.Simulation} plays a {@link petrelplank.emulator.Scenario} and returns the
 * {@link petrelplank.emulator.GroundTruth}. The same scenario and seed give the same bytes, so the order in which
 * random numbers are drawn and tasks are scheduled is part of the behaviour.
 */
package petrelplank.emulator;
