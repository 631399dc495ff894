/**
 * Incident analysis: the records of all proxies are aggregated into figures ({@link
 * petrelplank.analysis.IncidentTimeline}) and findings ({@link petrelplank.analysis.Diagnosis}, one {@link
 * petrelplank.analysis.FindingDetector} for each kind of fault). The package does no I/O and reads no clock, and the
 * aggregated state is the same whatever order the entries come in and however often one is repeated.
 */
package petrelplank.analysis;
