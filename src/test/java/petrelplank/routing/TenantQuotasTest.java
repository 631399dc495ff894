package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Under overload, requests over a tenant's quota are rejected first; without overload, all are served. */
class TenantQuotasTest {
    private static RouterSettings settings(double quotaPerSecond, double overQuotaWeightFactor) {
        RouterSettings defaults =
                RouterFixture.settings(WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 2);
        return new RouterSettings(
                defaults.proxyIndex(),
                defaults.proxyCount(),
                defaults.zone(),
                defaults.zones(),
                defaults.proxyCountByZone(),
                defaults.hubByZone(),
                defaults.linkKbPerSecondByZone(),
                defaults.parentKind(),
                defaults.originKind(),
                defaults.maxResponseKbPerSecond(),
                defaults.weightMeaning(),
                defaults.cacheStatusDetail(),
                defaults.reportFields(),
                defaults.watchEndpoints(),
                defaults.connectTimeoutUs(),
                defaults.classes(),
                defaults.permissions(),
                defaults.rules(),
                List.of(new Tenant("small", quotaPerSecond), new Tenant("large", 1e6)),
                overQuotaWeightFactor);
    }

    /** Sends 400 requests at once, the tenants in turn, and returns the number of rejected ones by tenant. */
    private static int[] rejectedRequestsByTenant(RouterSettings settings, String... tenants) {
        RouterFixture host = new RouterFixture(settings).withUsualEndpoints();
        host.requestAndFill(0, 100);
        int[] rejected = new int[tenants.length];
        for (int i = 0; i < 400; i++) {
            host.tenant = tenants[i % tenants.length];
            rejected[i % tenants.length] += host.rejected.contains(host.request(1000 + i)) ? 1 : 0;
        }
        return rejected;
    }

    @Test
    void requestsOverTheQuotaAreRejectedFirst() {
        int[] rejected = rejectedRequestsByTenant(settings(2, 0.1), "small", "large");
        assertThat(200 - rejected[1])
                .as("requests of the large tenant that were not rejected")
                .isGreaterThan((int) (1.3 * (200 - rejected[0])));
    }

    @Test
    void tenantWithinItsQuotaIsRejectedLikeAllOthers() {
        int[] rejected = rejectedRequestsByTenant(settings(1e5, 0.1), "small", "large");
        assertThat(Math.abs(rejected[0] - rejected[1])).isLessThan(30);
    }

    @Test
    void requestsOfFullWeightOverTheQuotaAreNotRejectedFirst() {
        int[] rejected = rejectedRequestsByTenant(settings(2, 1), "small", "large");
        assertThat(Math.abs(rejected[0] - rejected[1])).isLessThan(30);
    }

    /** A request without a tenant, or with one that the settings do not name, counts as within the quota. */
    @Test
    void requestsWithoutAKnownTenantAreRejectedLikeThoseWithinTheQuota() {
        int[] rejected = rejectedRequestsByTenant(settings(2, 0.1), null, "unknown", "large");
        assertThat(rejected[0]).isBetween(rejected[2] - 30, rejected[2] + 30);
        assertThat(rejected[1]).isBetween(rejected[2] - 30, rejected[2] + 30);
    }

    @Test
    void requestsOverTheQuotaAreServedWhileThereIsRoom() {
        RouterFixture host = new RouterFixture(settings(2, 0.1)).withUsualEndpoints();
        host.tenant = "small";
        for (int i = 0; i < 200; i++) {
            String id = host.request(i);
            host.now += 20 * MS;
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        assertThat(host.rejected).isEmpty();
    }

    /** Quota use decays within seconds: a tenant is rejected first right after a burst, and like all others later. */
    @Test
    void tenantThatPausedIsWithinItsQuotaAgain() {
        assertThat(servedRatioAfterABurst(0))
                .as("served requests over those of the other tenant, right after the burst")
                .isLessThan(0.8);
        assertThat(servedRatioAfterABurst(60 * SEC)).isGreaterThan(0.9);
    }

    /** Served requests of a tenant after a burst of 300 and a pause, divided by those of another tenant. */
    private static double servedRatioAfterABurst(long pauseUs) {
        RouterFixture host = new RouterFixture(settings(60, 0.1)).withUsualEndpoints();
        host.tenant = "small";
        for (int i = 0; i < 300; i++) {
            host.endAttempt(host.request(i), AttemptStatus.OK, CacheStatus.HIT, MS);
        }
        host.now += pauseUs;
        int[] sent = new int[2];
        for (int i = 0; i < 200; i++) {
            host.tenant = i % 2 == 0 ? "small" : "large";
            sent[i % 2] += host.rejected.contains(host.request(1000 + i)) ? 0 : 1;
        }
        return (double) sent[0] / sent[1];
    }

    @Test
    void badTenantIsNamedInTheMessage() {
        assertThatThrownBy(() -> new Tenant("", 1)).hasMessageContaining("name of a tenant");
        assertThatThrownBy(() -> new Tenant("a", -1)).hasMessageContaining("allowance-per-s of tenant a");
        assertThatThrownBy(() -> new Tenant("a", Double.NaN)).hasMessageContaining("allowance-per-s of tenant a");
        assertThatThrownBy(() -> settings(1, 1.5)).hasMessageContaining("over-share-worth");
    }
}
