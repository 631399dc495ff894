package petrelplank.emulator;

/** Names of the zones, proxies and servers of an emulated fleet; all are counted from 1. */
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

    /** The name of the server that takes another one's place. */
    static String successor(String server) {
        return server + "-new";
    }
}
