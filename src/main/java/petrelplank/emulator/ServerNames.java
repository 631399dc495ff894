package petrelplank.emulator;

/** Builds the names of the zones, proxies and servers of an emulated fleet. All numbers start at 1. */
final class ServerNames {
    static final String ORIGIN = "central-stock";

    private ServerNames() {}

    static String edgeZone(int zone) {
        return "branch" + zone;
    }

    static String hubZone(int hub) {
        return "hub" + hub;
    }

    static String proxy(int zone, int number) {
        return "front-" + number + "." + edgeZone(zone);
    }

    static String cache(int zone, int number) {
        return "box-" + number + "." + edgeZone(zone);
    }

    static String parent(int hub, int number) {
        return "hub-box-" + number + "." + hubZone(hub);
    }

    /** Returns the name of the server that replaces the given one. */
    static String successor(String server) {
        return server + "-new";
    }
}
