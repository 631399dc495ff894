package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import petrelplank.record.Event;

/** Finds purges of a large part of the groups at once. */
final class PurgeDetector implements FindingDetector {
    /** Purges so near each other are one. */
    private static final long AT_ONCE_MS = 1_000;

    private static final double MIN_GROUP_SHARE = 0.25;
    private static final int MIN_GROUPS = 2;
    private static final long MILLISECOND_US = 1_000;

    @Override
    public List<Finding> detect(IncidentTimeline timeline) {
        List<Event.Purged> purges = groupPurges(timeline);
        int knownGroups = knownGroups(timeline, purges).size();
        List<Finding> findings = new ArrayList<>();
        int begin = 0;
        while (begin < purges.size()) {
            long atMs = purges.get(begin).unixMs();
            Set<Integer> purgedGroups = new HashSet<>();
            int next = begin;
            while (next < purges.size() && purges.get(next).unixMs() - atMs <= AT_ONCE_MS) {
                purgedGroups.add(purges.get(next).group());
                next++;
            }
            if (purgedGroups.size() >= MIN_GROUP_SHARE * knownGroups && purgedGroups.size() >= MIN_GROUPS) {
                findings.add(Finding.exact(
                        Finding.Kind.PURGE,
                        List.of(),
                        atMs * MILLISECOND_US,
                        atMs * MILLISECOND_US,
                        purgedGroups.size() + " of " + knownGroups + " groups purged within a second"));
            }
            begin = next;
        }
        return findings;
    }

    /** Purges of whole groups, each once, by time. */
    private static List<Event.Purged> groupPurges(IncidentTimeline timeline) {
        Map<Long, Event.Purged> byIndex = new TreeMap<>();
        timeline.incarnations()
                .forEach(incarnation ->
                        byIndex.putAll(incarnation.purgeNotifications().purges()));
        return byIndex.values().stream()
                .filter(purge -> purge.object() == null)
                .sorted(Comparator.comparingLong(Event.Purged::unixMs))
                .toList();
    }

    private static Set<Integer> knownGroups(IncidentTimeline timeline, List<Event.Purged> purges) {
        Set<Integer> groups = new HashSet<>();
        timeline.incarnations()
                .forEach(incarnation -> incarnation.attempts().forEachCopy(copy -> groups.add(copy.group())));
        purges.forEach(purge -> groups.add(purge.group()));
        return groups;
    }
}
