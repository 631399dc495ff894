package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Under overload, requests over a tenant's quota are rejected first; where there is room, all are served. */
class TenantQuotasTest {
    private static RouterSettings settings(double quotaPerSecond, double overQuotaWeightFactor) {
        RouterSettings usual =
                RouterFixture.settings(WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 2);
        return new RouterSettings(
                usual.self(),
                usual.gateways(),
                usual.zone(),
                usual.zones(),
                usual.zoneGateways(),
                usual.zoneHub(),
                usual.zoneLinkKbPerSecond(),
                usual.parentKind(),
                usual.originKind(),
                usual.flowKbPerSecond(),
                usual.weightMeaning(),
                usual.cacheStatusDetail(),
                usual.reportFields(),
                usual.watchEndpoints(),
                usual.connectTimeoutUs(),
                usual.classes(),
                usual.permissions(),
                usual.rules(),
                List.of(new Tenant("small", quotaPerSecond), new Tenant("large", 1e6)),
                overQuotaWeightFactor);
    }

    /** Requests of each tenant in turn at one moment; how many of them were rejected. */
    private static int[] rejectedOfABurst(RouterSettings settings, String... tenants) {
        RouterFixture host = new RouterFixture(settings).withUsualEndpoints();
        host.fills(0, 100);
        int[] rejected = new int[tenants.length];
        for (int i = 0; i < 400; i++) {
            host.tenant = tenants[i % tenants.length];
            rejected[i % tenants.length] += host.rejected.contains(host.request(1000 + i)) ? 1 : 0;
        }
        return rejected;
    }

    @Test
    void requestsOverTheQuotaAreRejectedFirst() {
        int[] rejected = rejectedOfABurst(settings(2, 0.1), "small", "large");
        assertThat(200 - rejected[1]).as("large, let through").isGreaterThan((int) (1.3 * (200 - rejected[0])));
    }

    @Test
    void tenantWithinItsQuotaIsRejectedLikeAllOthers() {
        int[] rejected = rejectedOfABurst(settings(1e5, 0.1), "small", "large");
        assertThat(Math.abs(rejected[0] - rejected[1])).isLessThan(30);
    }

    @Test
    void requestsOfFullWeightOverTheQuotaAreNotRejectedFirst() {
        int[] rejected = rejectedOfABurst(settings(2, 1), "small", "large");
        assertThat(Math.abs(rejected[0] - rejected[1])).isLessThan(30);
    }

    /** No tenant, and one that the settings don't name, count like one within its quota. */
    @Test
    void requestsWithoutAKnownTenantAreRejectedLikeThoseWithinTheQuota() {
        int[] rejected = rejectedOfABurst(settings(2, 0.1), null, "nobody", "large");
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

    /** A quota counts over some seconds: rejected first right after a burst, like all others later. */
    @Test
    void tenantThatPausedIsWithinItsQuotaAgain() {
        assertThat(servedRatioAfterABurst(0)).as("part of what the other had").isLessThan(0.8);
        assertThat(servedRatioAfterABurst(60 * S)).isGreaterThan(0.9);
    }

    /** Served requests of a tenant after a burst of 300 and a pause, over those of another one. */
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
        assertThatThrownBy(() -> new Tenant("", 1)).hasMessageContaining("tenant name");
        assertThatThrownBy(() -> new Tenant("a", -1)).hasMessageContaining("tenant a allowancePerS");
        assertThatThrownBy(() -> new Tenant("a", Double.NaN)).hasMessageContaining("tenant a allowancePerS");
        assertThatThrownBy(() -> settings(1, 1.5)).hasMessageContaining("overShareWorth");
    }
}
