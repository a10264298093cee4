// Encoding of the views and changes that nodes send to each other.

package org.gypsumturn.peer

import kotlinx.serialization.json.Json
import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.ViewSnapshot
import org.gypsumturn.schema.peer.ExchangeReply

/** A newer view from a peer, and the changes that led to it; no changes if the peer sent a snapshot instead. */
internal data class ReceivedView(val view: FleetView, val changes: List<Change>)

internal object PeerCodec {
    private val json = Json { ignoreUnknownKeys = true }

    fun encodeChange(change: Change): String = json.encodeToString(change)

    fun encodeSnapshot(view: FleetView): String = json.encodeToString(view.toSnapshot())

    /** The view that [reply] contains; null if it is not newer than [current] or does not continue from [current]. */
    fun decodeNewerView(current: FleetView, reply: ExchangeReply): ReceivedView? {
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
