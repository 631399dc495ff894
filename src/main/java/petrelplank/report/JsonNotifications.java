package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * When proxies were notified of a drain or a purge, as JSON.
 *
 * @param proxies how many were
 * @param firstUs the first, in Unix microseconds
 * @param lastUs the last, in Unix microseconds
 */
public record JsonNotifications(@JsonProperty("told") int proxies, long firstUs, long lastUs) {
    static JsonNotifications of(List<Long> timesUs) {
        return new JsonNotifications(
                timesUs.size(),
                timesUs.stream().mapToLong(time -> time).min().orElse(0),
                timesUs.stream().mapToLong(time -> time).max().orElse(0));
    }
}
