// The versioned view of the fleet. Each accepted change increments the version by one and lists the records that it
// puts and removes, so a process that applies all changes in order holds the same view as the table.

package org.gypsumturn.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** A record that a change puts into the view or removes from it. Rows store subtypes under their qualified names. */
@Serializable
public sealed interface Mutation {
    /** Adds or replaces a pool. */
    @Serializable
    public data class PutPool(public val pool: Pool) : Mutation

    /** Removes a pool. */
    @Serializable
    public data class RemovePool(public val id: PoolId) : Mutation

    /** Adds or replaces a service. */
    @Serializable
    public data class PutService(public val service: Service) : Mutation

    /** Removes a service. */
    @Serializable
    public data class RemoveService(public val id: ServiceId) : Mutation

    /** Adds or replaces a team. */
    @Serializable
    public data class PutTeam(public val team: Team) : Mutation

    /** Removes a team. */
    @Serializable
    public data class RemoveTeam(public val id: TeamId) : Mutation

    /** Adds or replaces an instance. */
    @Serializable
    public data class PutInstance(public val instance: Instance) : Mutation

    /** Removes an instance. */
    @Serializable
    public data class RemoveInstance(public val id: InstanceId) : Mutation

    /** Adds or replaces a wave. */
    @Serializable
    public data class PutWave(public val wave: Wave) : Mutation

    /** Removes a wave. */
    @Serializable
    public data class RemoveWave(public val id: WaveId) : Mutation

    /** Adds or replaces one of the system's nodes. */
    @Serializable
    public data class PutNode(public val node: Node) : Mutation

    /** Removes one of the system's nodes. */
    @Serializable
    public data class RemoveNode(public val id: NodeId) : Mutation
}

/** An accepted change to the view: who made it, when, and what it does. The sequence of changes is the audit trail. */
@Serializable
public data class Change(
    public val version: ViewVersion,
    public val operation: OperationId,
    public val operator: OperatorId,
    public val atMillis: Long,
    public val summary: String,
    public val mutations: List<Mutation>,
)

/** The whole view in one serializable record, for nodes that start and for peers that lag too far to get changes. */
@Serializable
public data class ViewSnapshot(
    public val version: ViewVersion,
    public val pools: List<Pool>,
    public val services: List<Service>,
    public val teams: List<Team>,
    public val instances: List<Instance>,
    public val waves: List<Wave>,
    public val nodes: List<Node>,
    public val membershipVersion: ViewVersion = version,
)

/**
 * An immutable view of the fleet at one version.
 *
 * @property membershipVersion version of the latest change to [nodes]; a later version where the exact one is unknown
 */
public data class FleetView(
    public val version: ViewVersion = ViewVersion.NONE,
    public val pools: PersistentMap<PoolId, Pool> = persistentMapOf(),
    public val services: PersistentMap<ServiceId, Service> = persistentMapOf(),
    public val teams: PersistentMap<TeamId, Team> = persistentMapOf(),
    public val instances: PersistentMap<InstanceId, Instance> = persistentMapOf(),
    public val waves: PersistentMap<WaveId, Wave> = persistentMapOf(),
    public val nodes: PersistentMap<NodeId, Node> = persistentMapOf(),
    public val membershipVersion: ViewVersion = version,
) {
    /** The instances of [pool], in no particular order. */
    public fun membersOf(pool: PoolId): List<Instance> = instances.values.filter { it.pool == pool }

    /**
     * Returns the view that results from [change].
     *
     * @throws IllegalArgumentException if the version of the change is not the next after this view's version
     */
    public fun apply(change: Change): FleetView {
        require(change.version == version.next()) {
            "change ${change.version} does not follow view $version"
        }
        return change.mutations
            .fold(this) { view, mutation -> view.applyOne(mutation, change.version) }
            .copy(version = change.version)
    }

    /** Returns this view with [records] added. Each keeps the revision that it carries, as read from the table. */
    public fun withRecords(records: List<Mutation>): FleetView = records
        .fold(this) { view, mutation -> view.applyOne(mutation, recordRevision(mutation)) }
        .copy(membershipVersion = version)

    private fun recordRevision(mutation: Mutation): ViewVersion = when (mutation) {
        is Mutation.PutPool -> mutation.pool.revision
        is Mutation.PutService -> mutation.service.revision
        is Mutation.PutTeam -> mutation.team.revision
        is Mutation.PutInstance -> mutation.instance.revision
        is Mutation.PutWave -> mutation.wave.revision
        is Mutation.PutNode -> mutation.node.revision
        else -> version
    }

    /** Returns this view in serializable form. */
    public fun toSnapshot(): ViewSnapshot = ViewSnapshot(
        version,
        pools.values.toList(),
        services.values.toList(),
        teams.values.toList(),
        instances.values.toList(),
        waves.values.toList(),
        nodes.values.toList(),
    )

    private fun applyOne(mutation: Mutation, at: ViewVersion): FleetView = when (mutation) {
        is Mutation.PutPool -> copy(pools = pools.put(mutation.pool.id, mutation.pool.copy(revision = at)))

        is Mutation.RemovePool -> copy(pools = pools.remove(mutation.id))

        is Mutation.PutService ->
            copy(services = services.put(mutation.service.id, mutation.service.copy(revision = at)))

        is Mutation.RemoveService -> copy(services = services.remove(mutation.id))

        is Mutation.PutTeam -> copy(teams = teams.put(mutation.team.id, mutation.team.copy(revision = at)))

        is Mutation.RemoveTeam -> copy(teams = teams.remove(mutation.id))

        is Mutation.PutInstance ->
            copy(instances = instances.put(mutation.instance.id, mutation.instance.copy(revision = at)))

        is Mutation.RemoveInstance -> copy(instances = instances.remove(mutation.id))

        is Mutation.PutWave -> copy(waves = waves.put(mutation.wave.id, mutation.wave.copy(revision = at)))

        is Mutation.RemoveWave -> copy(waves = waves.remove(mutation.id))

        is Mutation.PutNode -> copy(
            nodes = nodes.put(mutation.node.id, mutation.node.copy(revision = at)),
            membershipVersion = at,
        )

        is Mutation.RemoveNode -> copy(nodes = nodes.remove(mutation.id))
    }

    public companion object {
        /** Restores the view from [snapshot]. */
        public fun of(snapshot: ViewSnapshot): FleetView = FleetView(
            snapshot.version,
            persistentMapOf<PoolId, Pool>().putAll(snapshot.pools.associateBy { it.id }),
            persistentMapOf<ServiceId, Service>().putAll(snapshot.services.associateBy { it.id }),
            persistentMapOf<TeamId, Team>().putAll(snapshot.teams.associateBy { it.id }),
            persistentMapOf<InstanceId, Instance>().putAll(snapshot.instances.associateBy { it.id }),
            persistentMapOf<WaveId, Wave>().putAll(snapshot.waves.associateBy { it.id }),
            persistentMapOf<NodeId, Node>().putAll(snapshot.nodes.associateBy { it.id }),
        )
    }
}
