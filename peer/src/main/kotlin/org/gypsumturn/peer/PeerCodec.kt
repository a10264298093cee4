// Encoding of views and changes between nodes.

package org.gypsumturn.peer

import kotlinx.serialization.json.Json
import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.ViewSnapshot
import org.gypsumturn.schema.peer.ExchangeReply

/** A newer view, and the changes that led to it where the peer still had them. */
internal data class ReceivedView(val view: FleetView, val changes: List<Change>)

internal object PeerCodec {
    private val json = Json { ignoreUnknownKeys = true }

    fun encodeChange(change: Change): String = json.encodeToString(change)

    fun encodeSnapshot(view: FleetView): String = json.encodeToString(view.toSnapshot())

    /** The view that [reply] brings, or null if it is not newer than [current]. */
    fun viewAfter(current: FleetView, reply: ExchangeReply): ReceivedView? {
        if (reply.version <= current.version.value) return null
        if (reply.snapshot.isNotEmpty()) {
            val snapshot = json.decodeFromString<ViewSnapshot>(reply.snapshot)
            return ReceivedView(FleetView.of(snapshot), emptyList())
        }
        val changes =
            reply.changesList
                .map { json.decodeFromString<Change>(it) }
                .filter { it.version > current.version }
        if (changes.firstOrNull()?.version != current.version.next()) return null
        return ReceivedView(changes.fold(current) { view, change -> view.apply(change) }, changes)
    }
}
