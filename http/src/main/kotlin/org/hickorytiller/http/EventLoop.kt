/**
 * The single event loop of a process. All connections and all decisions run on its one thread, so the state of the
 * modules needs no locks.
 */
package org.hickorytiller.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel

/** An event loop with one thread, and the scope of the tasks that run on it. */
class EventLoop : AutoCloseable {
    /** The Netty group; it has exactly one thread. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Scope whose tasks run on the event loop. The failure of one task leaves the others running. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())

    /** Cancels all tasks and stops the thread. */
    override fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }
}

/** Returns an allocator for reads of at most [READ_BYTES], one for each listener or connection. */
internal fun boundedReads() = AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, READ_BYTES)

private const val MIN_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048
