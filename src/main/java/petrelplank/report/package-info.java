/**
 * The report of an incident in three forms: one HTML page ({@link petrelplank.report.HtmlReport}, a class for each
 * section), a JSON document ({@link petrelplank.report.JsonReport}) and a few lines for a terminal ({@link
 * petrelplank.report.TextSummary}). Only figures and findings of {@code petrelplank.analysis} are shown; nothing is
 * worked out here. The words and keys that readers know are kept apart from Java names.
 */
package petrelplank.report;
