// Workspaces: the customers that share the pools. Callers prove by an API key which workspace they act for. Only
// digests of the keys are kept, so that no key can get into a log line, a metric or a report.

package org.gypsumturn.batch.model

import org.gypsumturn.model.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * A customer that shares the pools with others.
 *
 * @property weight share of a full pool, relative to the weights of the other workspaces that have work there
 * @property cap upper bound on the capacity that its runs hold on all executors; a component of 0 sets no bound
 */
public data class Workspace(public val id: WorkspaceId, public val weight: Double, public val cap: ResourceAmounts)

/** A workspace with the API keys of its callers, in clear text as the operator has written them. */
public class KeyedWorkspace(public val workspace: Workspace, public val apiKeys: List<String>)

/**
 * The workspaces of one version of the configuration. Throws [IllegalArgumentException], which names no key, if two of
 * them share a name or a key, if a key is blank, or if a weight or a cap is out of range.
 */
public class WorkspaceDirectory(workspaces: List<KeyedWorkspace>) {
    private val workspacesById: Map<WorkspaceId, Workspace>
    private val workspacesByDigest: Map<ByteBuffer, WorkspaceId>

    init {
        val byId = LinkedHashMap<WorkspaceId, Workspace>()
        val byDigest = HashMap<ByteBuffer, WorkspaceId>()
        workspaces.forEach { keyed ->
            val workspace = keyed.workspace
            requireValid(workspace)
            require(byId.put(workspace.id, workspace) == null) { "two workspaces are named ${workspace.id}" }
            keyed.apiKeys.forEach { key ->
                require(key.isNotBlank()) { "workspace ${workspace.id} has a blank API key" }
                val other = byDigest.put(digestOf(key), workspace.id)
                require(other == null) { "workspaces $other and ${workspace.id} share an API key" }
            }
        }
        workspacesById = byId
        workspacesByDigest = byDigest
    }

    /** All workspaces, in the order of the configuration. */
    public val all: Collection<Workspace> get() = workspacesById.values

    /** The workspace [id], or null where this version has none. */
    public operator fun get(id: WorkspaceId): Workspace? = workspacesById[id]

    /**
     * The workspace that [apiKey] belongs to, or null if it belongs to none. The time that this takes tells nothing
     * about the known keys, since only digests are compared.
     */
    public fun workspaceOf(apiKey: String): WorkspaceId? = workspacesByDigest[digestOf(apiKey)]

    private fun requireValid(workspace: Workspace) {
        require(workspace.id.value.isNotEmpty()) { "a workspace has no name" }
        require(workspace.weight > 0 && workspace.weight.isFinite()) {
            "workspace ${workspace.id} has the weight ${workspace.weight}; it must be positive"
        }
        val cap = workspace.cap
        require(cap.cpuMillis >= 0 && cap.memoryMb >= 0 && cap.accelerators >= 0) {
            "workspace ${workspace.id} has a negative cap"
        }
    }
}

private fun digestOf(apiKey: String): ByteBuffer =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(apiKey.encodeToByteArray()))
