/**
 * Entry point of `hickory-load`: measures how much time to first token the router adds to a direct connection to the
 * same engine in the same run, and how much processor time it uses per request.
 */
package org.hickorytiller.loadtest

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.json
import org.hickorytiller.core.parseAddress
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.net.InetSocketAddress
import java.time.Duration
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val options = LoadOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    if (options.help) {
        parser.printUsage(System.out)
        return
    }
    exitProcess(if (measure(options)) 0 else 1)
}

private fun measure(options: LoadOptions): Boolean = EventLoop().use { loop ->
    val routed = path("router", options.router, "authorization" to "Bearer ${options.key}")
    val direct = path("direct", options.direct)
    val client = HttpClient(loop.group, HttpLimits())
    val run = LoadRun(client, listOf(routed, direct), options.ratePerSecond, body(options), options.seed)
    runBlocking {
        loop.scope.async {
            run.run(this, options.warmUpSeconds)
            routed.reset()
            direct.reset()
            val before = processorTime(options.routerPid)
            run.run(this, options.seconds)
            report(options, routed, direct, before, processorTime(options.routerPid))
        }.await()
    }
}

private fun path(name: String, address: String, vararg headers: Pair<String, String>): RequestPath {
    val parsed: InetSocketAddress =
        parseAddress(address) ?: run {
            System.err.println("$name: expected IP:PORT, found \"$address\"")
            exitProcess(EXIT_USAGE)
        }
    return RequestPath(name, parsed, Headers.of("content-type" to "application/json", *headers))
}

private fun body(options: LoadOptions): ByteArray = json.writeValueAsBytes(
    mapOf(
        "model" to options.model,
        "stream" to true,
        "max_tokens" to options.tokens,
        "messages" to listOf(mapOf("role" to "user", "content" to "Write a short condition report.")),
    ),
)

private fun report(
    options: LoadOptions,
    routed: RequestPath,
    direct: RequestPath,
    before: Duration?,
    after: Duration?,
): Boolean {
    println("path     completed failed  first token ms p50     p99  total ms p50     p99")
    listOf(direct, routed).forEach { println(row(it)) }
    val addedMs =
        (routed.firstTokenUs.getValueAtPercentile(P50) - direct.firstTokenUs.getValueAtPercentile(P50)) / US_PER_MS
    println("added median time to first token: %.3f ms (bound %.3f ms)".format(addedMs, options.maxAddedMs))
    if (before != null && after != null) {
        val usedMs = after.minus(before).toMillis()
        val coresUsed = usedMs / (options.seconds * MS_PER_SECOND)
        println(
            "router processor time: %.0f us per request, %.3f cores at %d requests/s, %.0f requests/s per core".format(
                usedMs * US_PER_MS / maxOf(routed.completed, 1),
                coresUsed,
                options.ratePerSecond,
                options.ratePerSecond / coresUsed,
            ),
        )
    }
    return addedMs <= options.maxAddedMs && routed.failed == 0 && direct.failed == 0
}

private fun row(path: RequestPath): String = "%-8s %9d %6d  %18.3f %7.3f  %12.3f %7.3f".format(
    path.name,
    path.completed,
    path.failed,
    path.firstTokenUs.getValueAtPercentile(P50) / US_PER_MS,
    path.firstTokenUs.getValueAtPercentile(P99) / US_PER_MS,
    path.totalUs.getValueAtPercentile(P50) / US_PER_MS,
    path.totalUs.getValueAtPercentile(P99) / US_PER_MS,
)

private const val EXIT_USAGE = 2
private const val P50 = 50.0
private const val P99 = 99.0
private const val US_PER_MS = 1_000.0
private const val MS_PER_SECOND = 1_000.0
