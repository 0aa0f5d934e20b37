/** A binary heap whose elements store their position, so that each can be moved or removed in logarithmic time. */
package org.hickorytiller.admission

/** An element that can be in up to [HEAPS] heaps at once. */
internal abstract class HeapNode {
    val positions = IntArray(HEAPS) { ABSENT }

    companion object {
        const val ABSENT = -1
        const val HEAPS = 3
    }
}

/** A heap ordered by [before], with the first element on top. [heap] is its index in [HeapNode.positions]. */
internal class IndexedHeap<T : HeapNode>(private val heap: Int, private val before: (T, T) -> Boolean) {
    private val nodes = ArrayList<T>()

    val size: Int get() = nodes.size

    val top: T? get() = if (nodes.isEmpty()) null else nodes[0]

    operator fun contains(node: T) = node.positions[heap] != HeapNode.ABSENT

    /** Adds [node], or restores its position if it is already in the heap. */
    fun put(node: T) {
        if (node !in this) {
            node.positions[heap] = nodes.size
            nodes += node
        }
        siftUp(node.positions[heap])
        siftDown(node.positions[heap])
    }

    /** Restores the position of [node] after a change of its key, if it is in the heap. */
    fun update(node: T) {
        if (node in this) put(node)
    }

    /** Removes [node] if it is in the heap. */
    fun remove(node: T) {
        val index = node.positions[heap]
        if (index == HeapNode.ABSENT) return
        val last = nodes.removeAt(nodes.size - 1)
        node.positions[heap] = HeapNode.ABSENT
        if (last === node) return
        place(last, index)
        siftUp(index)
        siftDown(last.positions[heap])
    }

    private fun siftUp(start: Int) {
        var index = start
        while (index > 0) {
            val parent = (index - 1) / 2
            if (!before(nodes[index], nodes[parent])) return
            swap(index, parent)
            index = parent
        }
    }

    private fun siftDown(start: Int) {
        var index = start
        while (true) {
            var first = index
            val left = 2 * index + 1
            if (left < nodes.size && before(nodes[left], nodes[first])) first = left
            if (left + 1 < nodes.size && before(nodes[left + 1], nodes[first])) first = left + 1
            if (first == index) return
            swap(index, first)
            index = first
        }
    }

    private fun swap(a: Int, b: Int) {
        val node = nodes[a]
        place(nodes[b], a)
        place(node, b)
    }

    private fun place(node: T, index: Int) {
        nodes[index] = node
        node.positions[heap] = index
    }
}
