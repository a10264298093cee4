// Tests the lag, the reboots and the faults of the in-memory instance list, and the faults of the object store.

package org.gypsumturn.ports.fake

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Address
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState
import org.gypsumturn.ports.ObjectName

class FakeInstanceListTest : AnnotationSpec() {
    private val id = InstanceId("plans-1")
    private val domain = FailureDomain(RegionId("texas"), DataCentreId("dc1"), RackId("r1"))
    private val address = Address("127.0.0.1", 1)
    private val instance = ListedInstance(id, domain, address, Capacity(1, 1), 8, 64, ListedState.LIVE, 1)

    @Test
    fun `the list shows a change only after the lag`() {
        var now = 1_000L
        val list = FakeInstanceList(listOf(instance), lagMillis = 500) { now }
        list.setLeaving(id, true)
        now = 1_499
        list.list(1_000).valueOrNull()!!.instances.single().state shouldBe ListedState.LIVE
        now = 1_500
        list.list(1_000).valueOrNull()!!.instances.single().state shouldBe ListedState.LEAVING
        list.remove(id)
        now = 2_000
        list.list(1_000).valueOrNull()!!.instances shouldBe emptyList()
    }

    @Test
    fun `the boot count of an instance increases when its reboot ends`() {
        var now = 0L
        val list = FakeInstanceList(listOf(instance), rebootMillis = 100) { now }
        list.reboot(id, 1_000) shouldBe Verdict.Ran(Unit)
        list.isRebooting(id) shouldBe true
        list.list(1_000).valueOrNull()!!.instances.single().bootCount shouldBe 1
        now = 100
        list.isRebooting(id) shouldBe false
        list.list(1_000).valueOrNull()!!.instances.single().bootCount shouldBe 2
    }

    @Test
    fun `a reboot whose answer is lost is started, and a refused one is not`() {
        var fault = PortFault.LOSE_ANSWER
        val startedReboots = mutableListOf<InstanceId>()
        val list = FakeInstanceList(listOf(instance), fault = { fault }, onReboot = startedReboots::add) { 0L }
        list.reboot(id, 1_000).shouldBeInstanceOf<Verdict.MayHaveRun>()
        fault = PortFault.REFUSE
        list.reboot(id, 1_000).shouldBeInstanceOf<Verdict.NotRun>()
        startedReboots shouldBe listOf(id)
    }

    @Test
    fun `a put whose answer is lost stores the object, and reads fail while the object store has a fault`() {
        var fault = PortFault.LOSE_ANSWER
        val store = FakeObjectStore({ fault })
        store.put(ObjectName("a"), byteArrayOf(1), 1_000).shouldBeInstanceOf<Verdict.MayHaveRun>()
        store.get(ObjectName("a"), 1_000).shouldBeInstanceOf<Verdict.NotRun>()
        fault = PortFault.NONE
        store.get(ObjectName("a"), 1_000).valueOrNull() shouldBe byteArrayOf(1)
    }
}
