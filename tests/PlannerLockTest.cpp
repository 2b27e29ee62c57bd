#include "edge/PlannerLock.h"
#include "edge/InstanceRegistry.h"
#include "tests/Tests.h"
#include "tests/fakes/LockStore.h"

#include <deque>

using namespace crocusmount;
using std::chrono::milliseconds;

namespace {

/// The parts of an instance that take part in the election of the planner.
struct Instance {
    InstanceRegistry registry;
    PlannerLock lock;

    Instance(net::io_context& context, LockStore& store, const std::string& id)
        : registry(context, store, store, { id, "1.1.1.1:1", "z", "" })
        , lock(context, store, store, registry)
    {
    }
};

/// Instances that share one store and see changes of the lock with a delay.
class Fleet {
public:
    explicit Fleet(int size)
    {
        for (int i = 0; i < size; ++i)
            m_instances.emplace_back(m_context, m_store, idOf(i));
        for (Instance& instance : m_instances) {
            for (int i = 0; i < size; ++i) {
                const std::string value = R"({"address":"2.2.2.2:)" + std::to_string(1000 + i)
                    + R"(","data_centre":"z","peer_address":""})";
                instance.registry.storeChanged({ { "crocusmount/instances/" + idOf(i), value, 1 }, false });
            }
        }
        for (Instance& instance : m_instances) {
            instance.registry.start();
            instance.lock.start();
        }
    }

    LockStore& store() { return m_store; }
    std::deque<Instance>& instances() { return m_instances; }

    /// Runs until another instance holds the lock, for at most twenty seconds, and until all instances have seen that.
    /// @param previousHolder  id of the instance that held the lock; empty: none
    void runUntilHeldByAnother(const std::string& previousHolder)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while ((m_store.holder.empty() || m_store.holder == previousHolder) && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(milliseconds(20));
        runFor(ChangeVisibleAfter);
        notifyAll({ { LockStore::LockKey, m_store.holder, m_store.revision }, false });
        runFor(std::chrono::seconds(1));
    }

    /// Simulates the death of the holder: the lease ends, and all instances see that the lock is free.
    void freeLock()
    {
        notifyAll({ { LockStore::LockKey, "", ++m_store.revision }, true });
        m_store.revision = 0;
        m_store.holder.clear();
    }

private:
    /// Time after a change until all instances have seen it. Watches report every 250 ms.
    static constexpr milliseconds ChangeVisibleAfter { 300 };

    static std::string idOf(int i) { return "i" + std::to_string(100 + i); }
    void runFor(milliseconds span)
    {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end)
            m_context.run_one_for(milliseconds(20));
    }
    void notifyAll(const StoreEvent& event)
    {
        for (Instance& instance : m_instances)
            instance.lock.storeChanged(event);
    }

    net::io_context m_context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    LockStore m_store;
    std::deque<Instance> m_instances;
};

} // namespace

TEST_GROUP(PlannerLock) {};

// Guards against a burst of writes: 295 instances that saw the lock become free wrote to it 270 times within two
// seconds, although a single write acquires it.
TEST(PlannerLock, FreeLockIsAcquiredWithFewWritesInFleetsOfAnySize)
{
    for (const int size : { 1, 9, 200 }) {
        const std::string label = std::to_string(size) + " instances";
        Fleet fleet(size);
        fleet.runUntilHeldByAnother("");
        CHECK_TEXT("i100", fleet.store().holder);
        CHECK_TRUE_TEXT(fleet.instances().front().lock.isHeld(), label.c_str());
        CHECK_TRUE_TEXT(fleet.store().writesToTheLock <= 2, label.c_str());
        fleet.freeLock();
        fleet.runUntilHeldByAnother("");
        CHECK_TRUE_TEXT(fleet.store().writesToTheLock <= 4, label.c_str());
    }
}

TEST(PlannerLock, NextInstanceAcquiresLockIfFirstInstanceDoesNot)
{
    Fleet fleet(9);
    fleet.instances().front().lock.release();
    fleet.runUntilHeldByAnother("");
    CHECK_TEXT("i101", fleet.store().holder);
    CHECK_FALSE(fleet.instances().front().lock.isHeld());
    CHECK_TRUE(fleet.instances()[1].lock.isHeld());
}
