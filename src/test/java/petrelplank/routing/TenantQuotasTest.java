package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Where load must be shed, what lies over a tenant's allowance goes first; where there is room, all is served. */
class TenantQuotasTest {
    private static RouterSettings settings(double quotaPerSecond, double overQuotaWeightFactor) {
        RouterSettings s =
                RouterFixture.settings(WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 2);
        return new RouterSettings(
                s.self(),
                s.gateways(),
                s.zone(),
                s.zones(),
                s.zoneGateways(),
                s.zoneHub(),
                s.zoneLinkKbPerSecond(),
                s.parentKind(),
                s.originKind(),
                s.flowKbPerSecond(),
                s.weightMeaning(),
                s.cacheStatusDetail(),
                s.reportFields(),
                s.watchEndpoints(),
                s.connectTimeoutUs(),
                s.classes(),
                s.permissions(),
                s.rules(),
                List.of(new Tenant("small", quotaPerSecond), new Tenant("large", 1e6)),
                overQuotaWeightFactor);
    }

    /** Requests of each tenant in turn at one moment; how many of them were refused. */
    private static int[] refusedOfABurst(RouterSettings settings, String... tenants) {
        RouterFixture host = new RouterFixture(settings).usual();
        host.fills(0, 100);
        int[] refused = new int[tenants.length];
        for (int i = 0; i < 400; i++) {
            host.tenant = tenants[i % tenants.length];
            refused[i % tenants.length] += host.refused.contains(host.ask(1000 + i)) ? 1 : 0;
        }
        return refused;
    }

    @Test
    void worthOverAnAllowanceIsShedFirst() {
        int[] refused = refusedOfABurst(settings(2, 0.1), "small", "large");
        assertThat(200 - refused[1]).as("large, let through").isGreaterThan((int) (1.3 * (200 - refused[0])));
    }

    @Test
    void withinItsAllowanceATenantIsShedLikeAllOthers() {
        int[] refused = refusedOfABurst(settings(1e5, 0.1), "small", "large");
        assertThat(Math.abs(refused[0] - refused[1])).isLessThan(30);
    }

    @Test
    void whatIsWorthAsMuchOverTheAllowanceIsNotShedFirst() {
        int[] refused = refusedOfABurst(settings(2, 1), "small", "large");
        assertThat(Math.abs(refused[0] - refused[1])).isLessThan(30);
    }

    /** No tenant, and one that the settings don't name, count like one within its allowance. */
    @Test
    void requestsWithoutAKnownTenantAreShedLikeThoseWithinTheirs() {
        int[] refused = refusedOfABurst(settings(2, 0.1), null, "nobody", "large");
        assertThat(refused[0]).isBetween(refused[2] - 30, refused[2] + 30);
        assertThat(refused[1]).isBetween(refused[2] - 30, refused[2] + 30);
    }

    @Test
    void thereIsNoSheddingWhileThereIsRoom() {
        RouterFixture host = new RouterFixture(settings(2, 0.1)).usual();
        host.tenant = "small";
        for (int i = 0; i < 200; i++) {
            String id = host.ask(i);
            host.now += 20 * MS;
            host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        }
        assertThat(host.refused).isEmpty();
    }

    /** An allowance counts over some seconds, not for good: shed first right after a flood, like all others later. */
    @Test
    void aTenantThatRestedIsWithinItsAllowanceAgain() {
        assertThat(letThroughAfterAFlood(0)).as("part of what the other had").isLessThan(0.8);
        assertThat(letThroughAfterAFlood(60 * S)).isGreaterThan(0.9);
    }

    /** What a tenant that asked 300 times at once, and rested, is let through over what another one is. */
    private static double letThroughAfterAFlood(long restUs) {
        RouterFixture host = new RouterFixture(settings(60, 0.1)).usual();
        host.tenant = "small";
        for (int i = 0; i < 300; i++) {
            host.end(host.ask(i), AttemptStatus.OK, CacheStatus.HIT, MS);
        }
        host.now += restUs;
        int[] sent = new int[2];
        for (int i = 0; i < 200; i++) {
            host.tenant = i % 2 == 0 ? "small" : "large";
            sent[i % 2] += host.refused.contains(host.ask(1000 + i)) ? 0 : 1;
        }
        return (double) sent[0] / sent[1];
    }

    @Test
    void badTenantsAreNamed() {
        assertThatThrownBy(() -> new Tenant("", 1)).hasMessageContaining("tenant name");
        assertThatThrownBy(() -> new Tenant("a", -1)).hasMessageContaining("tenant a allowancePerS");
        assertThatThrownBy(() -> new Tenant("a", Double.NaN)).hasMessageContaining("tenant a allowancePerS");
        assertThatThrownBy(() -> settings(1, 1.5)).hasMessageContaining("overShareWorth");
    }
}
