#include "edge/PeerLink.h"
#include "edge/InstanceRegistry.h"
#include "edge/RelayNode.h"
#include "platform/WireNames.h"
#include "shell/Endpoint.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/RefusingEngineControl.h"

#include <thread>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

namespace {

/// The store as one instance sees it. All its calls are answered, or all are rejected immediately.
class SwitchableStore final : public StoreClient, public LeaseClient {
public:
    explicit SwitchableStore(net::io_context& context)
        : m_context(context)
    {
    }

    StoreRange content { 10, { { "op/config", "old", 5 } } };
    bool rejectsCalls = false;

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override
    {
        if (rejectsCalls)
            co_return absl::UnavailableError("503");
        co_return content;
    }
    Awaitable<StoreWriteResult> onWrite(StoreWrite) override { co_return StoreWriteResult(); }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t from, OnWatch onWatch) override
    {
        while (!rejectsCalls) {
            StoreWatchBatch batch { content.revision, {} };
            for (const StoreEntry& entry : content.entries) {
                if (entry.modRevision >= from)
                    batch.events.push_back({ entry, false });
            }
            from = content.revision + 1;
            if (!onWatch(batch))
                co_return absl::OkStatus();
            Timer timer(m_context.get_executor());
            timer.expires_after(milliseconds(50));
            co_await timer.async_wait(net::as_tuple(useAwaitable));
        }
        co_return absl::UnavailableError("503");
    }
    Awaitable<absl::StatusOr<Lease>> onGrant(milliseconds) override { co_return absl::UnavailableError("503"); }
    Awaitable<absl::Status> onKeep(std::int64_t) override { co_return absl::UnavailableError("503"); }
    Awaitable<absl::Status> onEnd(std::int64_t) override { co_return absl::UnavailableError("503"); }

    net::io_context& m_context;
};

/// @return a loopback address with a free TCP port
std::string freeAddress(net::io_context& context)
{
    net::basic_socket_acceptor<Tcp, Executor> probe(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// The parts of an entry instance that maintain its copy of the store.
class Instance {
public:
    Instance(net::io_context& context, const std::string& id, const std::string& dataCentre)
        : m_node(context, {}, platform::headerNames(), m_control)
        , m_store(context)
        , m_registry(context, m_store, m_store, { id, freeAddress(context), dataCentre, freeAddress(context) })
        , m_mirror(context, m_store, [this](const StoreEvent& event) { storeChanged(event); })
    {
        auto link = PeerLink::make(context, m_node, m_registry, m_mirror);
        CHECK_TRUE(link.ok());
        m_link = *std::move(link);
        m_mirror.start();
    }

    /// Makes this instance list another one, as if it had read that instance's entry from the store.
    void list(const Instance& other)
    {
        const InstanceRegistry::Entry& entry = other.m_registry.self();
        const std::string value = "{\"address\":\"" + entry.address + "\",\"data_centre\":\"" + entry.dataCentre
            + "\",\"peer_address\":\"" + entry.peerAddress + "\"}";
        m_registry.storeChanged({ { "crocusmount/instances/" + entry.id, value, 1 }, false });
    }

    relay::RelayNode& node() { return m_node; }
    SwitchableStore& store() { return m_store; }
    const StoreMirror& mirror() const { return m_mirror; }
    const PeerLink& link() const { return *m_link; }
    const std::string& configuration() const { return m_configuration; }

private:
    void storeChanged(const StoreEvent& event)
    {
        if (event.entry.key == "op/config")
            m_configuration = event.entry.value;
    }

    RefusingEngineControl m_control;
    relay::RelayNode m_node;
    SwitchableStore m_store;
    InstanceRegistry m_registry;
    std::string m_configuration;
    StoreMirror m_mirror;
    std::unique_ptr<PeerLink> m_link;
};

} // namespace

TEST_GROUP(PeerLink) {};

// Guards against deferring deletions after an outage that concerned only one instance. The store rejected the calls of
// one instance for 7 s, while others received its changes. When the instance was served again, it deferred deletions
// for 2.3 s and made its data centre defer them too, so that 17 calls reached a server that had left.
TEST(PeerLink, DeletionsAreNotDeferredIfPeerKeptContactWithStore)
{
    const struct {
        const char* name;
        bool isPeerServed;
        bool defersDeletions;
    } cases[] = { { "the peer kept contact", true, false }, { "the store rejected all calls", false, true } };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        Instance peer(context, "b", "z");
        Instance first(context, "a", "z");
        first.list(peer);
        while (!peer.mirror().isComplete() || !first.mirror().isComplete())
            context.run_one();
        const auto runFor = [&](milliseconds duration) {
            const auto end = std::chrono::steady_clock::now() + duration;
            while (std::chrono::steady_clock::now() < end)
                context.run_one_for(milliseconds(20));
        };
        runFor(milliseconds(1000)); // Both watch the store.
        first.store().rejectsCalls = true;
        peer.store().rejectsCalls = !each.isPeerServed;
        const auto setRevision = [&](std::int64_t revision) {
            for (Instance* instance : { &peer, &first })
                instance->store().content = { revision, { { "op/config", std::to_string(revision), revision } } };
        };
        for (std::int64_t revision = 20; revision < 50; ++revision) {
            setRevision(revision);
            runFor(milliseconds(100));
        }
        CHECK_EQUAL_TEXT(each.isPeerServed, first.mirror().revision() > 40, each.name);
        first.store().rejectsCalls = false;
        peer.store().rejectsCalls = false;
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!first.mirror().isStoreReachable() && std::chrono::steady_clock::now() < end)
            context.run_one_for(milliseconds(20));
        CHECK_TRUE_TEXT(first.mirror().isStoreReachable(), each.name);
        CHECK_EQUAL_TEXT(each.defersDeletions, first.mirror().progress().lapseGrace.count() > 0, each.name);
    }
}

// An instance that had just started, or whose process went on after a pause, named others that were cut off from the
// servers, as no report had reached it yet.
TEST(PeerLink, AnInstanceHasTheReportsOfTheOthersAfterThreeRounds)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    Instance alone(context, "c", "z");
    CHECK_TRUE(alone.link().hasCurrentReports());
    Instance peer(context, "b", "z");
    Instance first(context, "a", "z");
    first.list(peer);
    for (const bool isPaused : { false, true }) {
        if (isPaused)
            std::this_thread::sleep_for(milliseconds(1000));
        CHECK_FALSE(first.link().hasCurrentReports());
        const auto start = std::chrono::steady_clock::now();
        while (!first.link().hasCurrentReports() && std::chrono::steady_clock::now() < start + std::chrono::seconds(5))
            context.run_one_for(milliseconds(20));
        CHECK_TRUE(first.link().hasCurrentReports());
        // The first round after a pause is due at once.
        CHECK_TRUE(std::chrono::steady_clock::now() - start >= milliseconds(isPaused ? 300 : 450));
    }
}

// Guards against an outdated configuration on an instance whose calls the store rejects while it serves the others. The
// lease of such an instance expires, so the others no longer list it and send it no changes. The first instance of a
// data centre also ignored changes from peers. In a replay of such an outage of 20 s on six instances, a
// configuration was confirmed at 12.02 s. It was in force on four of them at 12.02 s, and on the two others at 24.05
// and 24.40 s. Until then these two answered valid calls with 401.
TEST(PeerLink, InstanceRejectedByStoreLearnsConfirmedChangesFromPeers)
{
    constexpr std::size_t LargerThanDatagram = 200'000;
    const struct {
        const char* name;
        const char* id;
        const char* dataCentre;
        bool isListed;
        std::size_t configurationBytes;
    } cases[] = {
        { "listed", "b", "z", true, 100 },
        { "its lease expired", "b", "z", false, 100 },
        { "first of its data centre", "0", "z", true, 100 },
        { "alone in its data centre", "b", "y", false, 100 },
        { "a change too large for a datagram", "b", "z", true, LargerThanDatagram },
    };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        Instance served(context, "a", "z");
        Instance rejected(context, each.id, each.dataCentre);
        rejected.list(served);
        if (each.isListed)
            served.list(rejected);
        while (!served.mirror().isComplete() || !rejected.mirror().isComplete())
            context.run_one();
        rejected.store().rejectsCalls = true;
        // An instance that a peer feeds makes no calls to the store, so it does not notice that they would be rejected.
        while (rejected.mirror().isStoreReachable() && !rejected.mirror().isFed())
            context.run_one();
        const std::string confirmedConfiguration(each.configurationBytes, 'n');
        served.store().content = { 12, { { "op/config", confirmedConfiguration, 12 } } };
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (rejected.configuration() != confirmedConfiguration && std::chrono::steady_clock::now() < end)
            context.run_one_for(milliseconds(100));
        CHECK_TRUE_TEXT(rejected.configuration() == confirmedConfiguration, each.name);
    }
}

namespace {

/// @return a server whose limit one instance would coordinate if both were listed
RegisteredServer serverCoordinatedBy(const std::string& coordinator, const std::string& other)
{
    LimitCoordinators coordinators;
    coordinators.update({ { InstanceId(coordinator), "1", true }, { InstanceId(other), "2", true } }, timePoint(0));
    std::string name = "x";
    while (coordinators.coordinatorOf(engineKey(BackendId(name))) != InstanceId(coordinator))
        name += "x";
    return RelayHarness::plain(name);
}

} // namespace

// The store can reject the calls of some instances while it serves the others, so that their entries end. Such an
// instance must not grant itself permits beside the coordinator of the others.
TEST(PeerLink, AnInstanceWithoutAnEntryAsksTheCoordinatorOfTheOthers)
{
    const struct {
        const char* name;
        bool isListed; ///< whether the entry of the instance that asks exists
        bool isPeerListed;
        std::uint64_t attempts; ///< that it may start
        std::uint64_t grantedByPeer;
    } cases[] = {
        { "only the peer is listed", false, true, 1, 1 },
        { "only the instance is listed", true, false, 1, 0 },
        { "neither is listed", false, false, 0, 0 },
    };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        Instance peer(context, "b", "z");
        Instance asking(context, "a", "z");
        for (Instance* reader : { &peer, &asking }) {
            if (each.isListed)
                reader->list(asking);
            if (each.isPeerListed)
                reader->list(peer);
        }
        relay::RelayNode& node = asking.node();
        const RegisteredServer server = serverCoordinatedBy("a", "b");
        node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
        node.post(relay::event::ServerRegistered { server });
        node.post(relay::event::ServerLimitReported { engineKey(server.id), { 10, node.now() } });
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        node.post(relay::event::CallArrived { RequestId(1), spec });
        const auto end = std::chrono::steady_clock::now() + milliseconds(400);
        while (std::chrono::steady_clock::now() < end && !node.reducer().counters().attempts)
            context.run_one_for(milliseconds(20));
        CHECK_EQUAL_TEXT(each.attempts, node.reducer().counters().attempts, each.name);
        CHECK_EQUAL_TEXT(each.grantedByPeer, peer.node().reducer().counters().permitsGranted, each.name);
        CHECK_EQUAL_TEXT(each.attempts - each.grantedByPeer, node.reducer().counters().permitsGranted, each.name);
    }
}
