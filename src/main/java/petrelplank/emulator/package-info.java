/**
 * A deterministic emulation of a whole fleet in simulated time: clients, edge proxies, caches, parent caches, the
 * origin and the discovery service. The proxies run the production code; everything around them is a model.
 * {@link petrelplank.emulator.Simulation} runs a {@link petrelplank.emulator.Scenario} and returns the
 * {@link petrelplank.emulator.GroundTruth}. The same scenario and seed produce byte-identical output, so the order
 * in which random numbers are drawn and tasks are scheduled is part of the behaviour and must not change.
 */
package petrelplank.emulator;
