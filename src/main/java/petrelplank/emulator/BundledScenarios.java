package petrelplank.emulator;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import petrelplank.yaml.Section;
import petrelplank.yaml.Yaml;

/** The scenarios that are bundled with the program as resources. */
public final class BundledScenarios {
    private static final String FOLDER = "/petrelplank/emulator/";
    private static final List<String> INCIDENTS = List.of(
            "calm",
            "crowded-link",
            "drain",
            "fast-failures",
            "purge",
            "restart",
            "silent-cache",
            "silent-parent",
            "slow-origin",
            "stopped-origin");
    private static final List<String> FLEET_INCIDENTS = List.of("fleet-join", "fleet-list", "fleet-zone");

    /** Maps scenario names of earlier versions to the current ones, so that existing command lines keep working. */
    private static final Map<String, String> ALIASES =
            Map.of("silent-hub", "silent-parent", "slow-stock", "slow-origin", "stock-over", "stopped-origin");

    private BundledScenarios() {}

    static boolean contains(String nameOrAlias) {
        String name = canonicalName(nameOrAlias);
        return INCIDENTS.contains(name) || FLEET_INCIDENTS.contains(name);
    }

    static Section read(String nameOrAlias) {
        return Yaml.resource(FOLDER + canonicalName(nameOrAlias) + ".yaml");
    }

    private static String canonicalName(String nameOrAlias) {
        return ALIASES.getOrDefault(nameOrAlias, nameOrAlias);
    }

    /**
     * Returns the names of the incidents of a small fleet. Each isolates one failure mode.
     *
     * @return the names in alphabetical order
     */
    public static List<String> incidents() {
        return INCIDENTS;
    }

    /**
     * Returns the names of the incidents of a fleet of many proxies. Each combines several faults.
     *
     * @return the names in alphabetical order
     */
    public static List<String> fleetIncidents() {
        return FLEET_INCIDENTS;
    }

    /**
     * Returns the names of all bundled scenarios.
     *
     * @return the incidents of a small fleet, then those of a fleet of many proxies
     */
    public static List<String> all() {
        return Stream.concat(INCIDENTS.stream(), FLEET_INCIDENTS.stream()).toList();
    }
}
