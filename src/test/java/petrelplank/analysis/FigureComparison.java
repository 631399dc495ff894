package petrelplank.analysis;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares all figures of the ground truth with those of the analysis, both as JSON. */
final class FigureComparison {
    /** Keys of the ground truth that the analysis has no such figure for; tests compare them in other ways. */
    private static final Set<String> NOT_COMPARED = Set.of("scenario", "seed", "troubles", "twice", "lives");

    /** Numbers with a fraction may be off by this part of them, as percentiles of two histograms are. */
    private static final double TOLERANCE = 0.01;

    private final List<String> differences = new ArrayList<>();

    private FigureComparison() {}

    /** The figures that differ, a line each. */
    static List<String> differences(JsonNode expected, JsonNode actual) {
        FigureComparison comparison = new FigureComparison();
        comparison.compareFields("", expected, actual);
        return comparison.differences;
    }

    private void compare(String path, JsonNode expected, JsonNode actual) {
        if (expected.isObject()) {
            compareObjects(path, expected, actual);
        } else if (actual == null) {
            differences.add(path + " is missing");
        } else if (!same(path, expected, actual)) {
            differences.add(path + ": " + expected + ", found " + actual);
        }
    }

    private void compareObjects(String path, JsonNode expected, JsonNode actual) {
        // Below the top, where the analysis says more than the ground truth, both have the same keys.
        if (actual != null) {
            Iterator<String> names = actual.fieldNames();
            while (names.hasNext()) {
                String name = names.next();
                if (!expected.has(name)) {
                    differences.add(path + " has " + name + ", which the truth has not");
                }
            }
        }
        compareFields(path, expected, actual);
    }

    private void compareFields(String path, JsonNode expected, JsonNode actual) {
        for (Map.Entry<String, JsonNode> field : expected.properties()) {
            if (!NOT_COMPARED.contains(field.getKey())) {
                compare(
                        path + "/" + field.getKey(),
                        field.getValue(),
                        actual == null ? null : actual.get(field.getKey()));
            }
        }
    }

    private static boolean same(String path, JsonNode expected, JsonNode actual) {
        if (!expected.isNumber() || !actual.isNumber()) {
            throw new IllegalArgumentException(path + " is no figure: " + expected + ", " + actual);
        }
        if (expected.isFloatingPointNumber()) {
            return Math.abs(expected.doubleValue() - actual.doubleValue())
                    <= TOLERANCE * Math.abs(expected.doubleValue());
        }
        return expected.longValue() == actual.longValue();
    }
}
