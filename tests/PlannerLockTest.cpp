#include "edge/PlannerLock.h"
#include "edge/InstanceRegistry.h"
#include "tests/Tests.h"
#include "tests/fakes/LockStore.h"

#include <deque>

using namespace crocusmount;
using std::chrono::milliseconds;

namespace {

struct Instance {
    InstanceRegistry registry;
    PlannerLock lock;

    Instance(net::io_context& context, LockStore& store, const std::string& id)
        : registry(context, store, store, { id, "1.1.1.1:1", "z", "" })
        , lock(context, store, store, registry)
    {
    }
};

/// Instances that share one store and see its changes some time later.
class Fleet {
public:
    explicit Fleet(int size)
    {
        for (int i = 0; i < size; ++i)
            m_instances.emplace_back(m_context, m_store, idOf(i));
        for (Instance& each : m_instances) {
            for (int i = 0; i < size; ++i) {
                const std::string value = R"({"address":"2.2.2.2:)" + std::to_string(1000 + i)
                    + R"(","data_centre":"z","peer_address":""})";
                each.registry.storeChanged({ { "crocusmount/instances/" + idOf(i), value, 1 }, false });
            }
        }
        for (Instance& each : m_instances) {
            each.registry.start();
            each.lock.start();
        }
    }

    LockStore& store() { return m_store; }
    std::deque<Instance>& instances() { return m_instances; }

    /// Runs until the lock is held by another than before, and everyone has seen it; or for twenty seconds.
    void runUntilHeldByAnother(const std::string& before)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while ((m_store.holder.empty() || m_store.holder == before) && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(milliseconds(20));
        runFor(SeenAfter);
        tell({ { LockStore::LockKey, m_store.holder, m_store.revision }, false });
        runFor(std::chrono::seconds(1));
    }

    /// The holder has died: its lease ends, and all see the lock go free.
    void freeLock()
    {
        tell({ { LockStore::LockKey, "", ++m_store.revision }, true });
        m_store.revision = 0;
        m_store.holder.clear();
    }

private:
    /// Between a change and the moment at which all have seen it: watches are 250 ms apart.
    static constexpr milliseconds SeenAfter { 300 };

    static std::string idOf(int i) { return "i" + std::to_string(100 + i); }
    void runFor(milliseconds span)
    {
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end)
            m_context.run_one_for(milliseconds(20));
    }
    void tell(const StoreEvent& event)
    {
        for (Instance& each : m_instances)
            each.lock.storeChanged(event);
    }

    net::io_context m_context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    LockStore m_store;
    std::deque<Instance> m_instances;
};

} // namespace

TEST_GROUP(PlannerLock) {};

// 295 instances that saw the lock go free wrote to it 270 times within two seconds; one write takes it.
TEST(PlannerLock, AFreeLockCostsFewWritesWhateverTheSizeOfTheFleet)
{
    for (const int size : { 1, 9, 200 }) {
        const std::string text = std::to_string(size) + " instances";
        Fleet fleet(size);
        fleet.runUntilHeldByAnother("");
        CHECK_TEXT("i100", fleet.store().holder);
        CHECK_TRUE_TEXT(fleet.instances().front().lock.isHeld(), text.c_str());
        CHECK_TRUE_TEXT(fleet.store().writesToTheLock <= 2, text.c_str());
        fleet.freeLock();
        fleet.runUntilHeldByAnother("");
        CHECK_TRUE_TEXT(fleet.store().writesToTheLock <= 4, text.c_str());
    }
}

TEST(PlannerLock, TheNextInstanceTakesTheLockWhereTheFirstDoesNot)
{
    Fleet fleet(9);
    fleet.instances().front().lock.release();
    fleet.runUntilHeldByAnother("");
    CHECK_TEXT("i101", fleet.store().holder);
    CHECK_FALSE(fleet.instances().front().lock.isHeld());
    CHECK_TRUE(fleet.instances()[1].lock.isHeld());
}
