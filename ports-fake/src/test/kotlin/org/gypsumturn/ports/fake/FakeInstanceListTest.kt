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
    fun `a change becomes visible after the lag`() {
        var now = 1_000L
        val list = FakeInstanceList(listOf(instance), lagMillis = 500) { now }
        list.setLeaving(id, true)
        now = 1_499
        list.list(1_000).valueOrNull()!!.instances.single().state shouldBe ListedState.LIVE
        now = 1_500
        list.list(1_000).valueOrNull()!!.instances.single().state shouldBe ListedState.LEAVING
        list.vanish(id)
        now = 2_000
        list.list(1_000).valueOrNull()!!.instances shouldBe emptyList()
    }

    @Test
    fun `the boot count grows once the instance is back`() {
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
    fun `a reboot whose answer is lost has started, and one that was refused has not`() {
        var fault = TableFault.LOSE_ANSWER
        val rebooted = mutableListOf<InstanceId>()
        val list = FakeInstanceList(listOf(instance), fault = { fault }, onReboot = rebooted::add) { 0L }
        list.reboot(id, 1_000).shouldBeInstanceOf<Verdict.MayHaveRun>()
        fault = TableFault.REFUSE
        list.reboot(id, 1_000).shouldBeInstanceOf<Verdict.NotRun>()
        rebooted shouldBe listOf(id)
    }

    @Test
    fun `an object whose put lost its answer is there, and a store that is down gives nothing`() {
        var fault = TableFault.LOSE_ANSWER
        val store = FakeObjectStore({ fault })
        store.put(ObjectName("a"), byteArrayOf(1), 1_000).shouldBeInstanceOf<Verdict.MayHaveRun>()
        store.get(ObjectName("a"), 1_000).shouldBeInstanceOf<Verdict.NotRun>()
        fault = TableFault.NONE
        store.get(ObjectName("a"), 1_000).valueOrNull() shouldBe byteArrayOf(1)
    }
}
