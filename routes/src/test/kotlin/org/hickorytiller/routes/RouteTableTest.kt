package org.hickorytiller.routes

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId

class RouteTableTest : AnnotationSpec() {
    private fun route(name: String, prefix: String, isPublic: Boolean = false) = Route(
        id = RouteId(name),
        host = "host.example",
        pathPrefix = prefix,
        responseMode = ResponseMode.BUFFERED,
        isIdempotent = true,
        canResume = false,
        timeoutMs = 1_000,
        targetMs = 100,
        eventGapTargetMs = 0,
        priority = 1,
        pools = listOf(WeightedPool(PoolId("pool"), 1)),
        maxAttempts = 2,
        isPublic = isPublic,
    )

    private val customer = Customer(CustomerId("clinic"), listOf("key-1", "key-2"), priority = 0)
    private val table =
        RouteTable(
            RoutingConfiguration(
                ConfigurationVersion(3),
                listOf(route("short", "/a/"), route("long", "/a/b/"), route("open", "/open/", isPublic = true)),
                pools = emptyList(),
                customers = listOf(customer),
                needsKeys = true,
            ),
        )

    private fun routeOf(host: String, path: String, key: String? = "key-1") = (table.resolve(host, path, key) as? Resolution.Allowed)?.route?.id?.value

    @Test
    fun `the route with the longest matching prefix is chosen`() {
        routeOf("host.example", "/a/b/c") shouldBe "long"
        routeOf("host.example", "/a/x") shouldBe "short"
        routeOf("host.example:8080", "/a/b/") shouldBe "long"
    }

    @Test
    fun `a route does not match a path outside its prefix or another host`() {
        table.resolve("host.example", "/ab", "key-1") shouldBe Resolution.NoRoute
        table.resolve("other.example", "/a/b", "key-1") shouldBe Resolution.NoRoute
    }

    @Test
    fun `a request without a key or with an unknown key is not allowed`() {
        listOf(null, "", "key-3").forEach { key ->
            table.resolve("host.example", "/a/x", key).shouldBeInstanceOf<Resolution.UnknownKey>()
        }
        (table.resolve("host.example", "/a/x", "key-2") as Resolution.Allowed).customer shouldBe customer
    }

    @Test
    fun `a request to a public route has no customer even with a key`() {
        (table.resolve("host.example", "/open/x", "key-1") as Resolution.Allowed).customer shouldBe null
    }

    @Test
    fun `requests are divided among pools by weight`() {
        val split = route("split", "/s/").copy(pools = listOf(WeightedPool(PoolId("a"), 9), WeightedPool(PoolId("b"), 1), WeightedPool(PoolId("c"), 0)))
        val chosen = (0 until 1_000).map { choosePool(split, it / 1_000.0) }
        chosen.count { it == PoolId("a") } shouldBe 900
        chosen.count { it == PoolId("b") } shouldBe 100
        choosePool(split.copy(pools = emptyList()), 0.5) shouldBe null
    }
}
