#include "edge/PeerLink.h"
#include "edge/InstanceRegistry.h"
#include "edge/RelayNode.h"
#include "platform/WireNames.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"
#include "tests/fakes/NoControl.h"

using namespace crocusmount;
using std::chrono::milliseconds;

namespace {

/// What one instance sees of the store: it is served, or turned away at once.
class StoreOfOneInstance final : public StoreClient, public LeaseClient {
public:
    explicit StoreOfOneInstance(net::io_context& context)
        : m_context(context)
    {
    }

    StoreRange content { 10, { { "op/config", "old", 5 } } };
    bool turnsAway = false;

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override
    {
        if (turnsAway)
            co_return absl::UnavailableError("503");
        co_return content;
    }
    Awaitable<StoreWriteResult> onWrite(StoreWrite) override { co_return StoreWriteResult(); }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t from, OnWatch onWatch) override
    {
        while (!turnsAway) {
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

/// @return an address of this machine whose port is free
std::string freeAddress(net::io_context& context)
{
    net::basic_socket_acceptor<Tcp, Executor> probe(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// The parts of an entry instance that keep its copy of the store.
class Instance {
public:
    Instance(net::io_context& context, const std::string& id, const std::string& dataCentre)
        : m_node(context, {}, platform::headerNames(), m_control)
        , m_store(context)
        , m_registry(context, m_store, m_store, { id, freeAddress(context), dataCentre, freeAddress(context) })
        , m_mirror(context, m_store, [this](const StoreEvent& event) { changed(event); })
    {
        auto link = PeerLink::make(context, m_node, m_registry, m_mirror);
        CHECK_TRUE(link.ok());
        m_link = *std::move(link);
        m_mirror.start();
    }

    /// Has this instance list another one, as if it had read its entry from the store.
    void list(const Instance& other)
    {
        const InstanceRegistry::Entry& entry = other.m_registry.self();
        const std::string value = "{\"address\":\"" + entry.address + "\",\"data_centre\":\"" + entry.dataCentre
            + "\",\"peer_address\":\"" + entry.peerAddress + "\"}";
        m_registry.storeChanged({ { "crocusmount/instances/" + entry.id, value, 1 }, false });
    }

    StoreOfOneInstance& store() { return m_store; }
    const StoreMirror& mirror() const { return m_mirror; }
    const std::string& configuration() const { return m_configuration; }

private:
    void changed(const StoreEvent& event)
    {
        if (event.entry.key == "op/config")
            m_configuration = event.entry.value;
    }

    NoControl m_control;
    relay::RelayNode m_node;
    StoreOfOneInstance m_store;
    InstanceRegistry m_registry;
    std::string m_configuration;
    StoreMirror m_mirror;
    std::unique_ptr<PeerLink> m_link;
};

} // namespace

TEST_GROUP(PeerLink) {};

// The store turned one instance away for 7 s while others had its changes. Once it was served again it held deletions
// back for 2.3 s, as after an outage of all, and had its data centre do so: 17 calls reached a server that had left.
TEST(PeerLink, AnInstanceThatWasTurnedAwayAloneTrustsDeletionsAtOnce)
{
    const struct {
        const char* name;
        bool peerIsServed;
        bool holdsBack;
    } cases[] = { { "its peer was served", true, false }, { "the store was away from all", false, true } };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        Instance peer(context, "b", "z");
        Instance first(context, "a", "z");
        first.list(peer);
        while (!peer.mirror().isComplete() || !first.mirror().isComplete())
            context.run_one();
        const auto runFor = [&](milliseconds span) {
            const auto end = std::chrono::steady_clock::now() + span;
            while (std::chrono::steady_clock::now() < end)
                context.run_one_for(milliseconds(20));
        };
        runFor(milliseconds(1000)); // Both follow the store.
        first.store().turnsAway = true;
        peer.store().turnsAway = !each.peerIsServed;
        const auto changeEntry = [&](std::int64_t revision) {
            for (Instance* instance : { &peer, &first })
                instance->store().content = { revision, { { "op/config", std::to_string(revision), revision } } };
        };
        for (std::int64_t revision = 20; revision < 50; ++revision) {
            changeEntry(revision);
            runFor(milliseconds(100));
        }
        CHECK_EQUAL_TEXT(each.peerIsServed, first.mirror().revision() > 40, each.name);
        first.store().turnsAway = false;
        peer.store().turnsAway = false;
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!first.mirror().inContact() && std::chrono::steady_clock::now() < end)
            context.run_one_for(milliseconds(20));
        CHECK_TRUE_TEXT(first.mirror().inContact(), each.name);
        CHECK_EQUAL_TEXT(each.holdsBack, first.mirror().progress().lapseGrace.count() > 0, each.name);
    }
}

// The store turned an instance away for 20 s and served the others. The instance's lease ran out, so that the others no
// longer listed it and passed nothing on to it; where it came first in its data centre it would not have listened
// either. In a replay of that outage on six instances a configuration confirmed at 12.02 s was in force on four of them
// at 12.02 s and on the two others at 24.05 and 24.40 s, and these answered 401 to proper calls meanwhile.
TEST(PeerLink, AnInstanceThatTheStoreTurnsAwayLearnsOfAConfirmedChangeFromItsPeers)
{
    constexpr std::size_t LargerThanADatagram = 200'000;
    const struct {
        const char* name;
        const char* id;
        const char* dataCentre;
        bool isListed;
        std::size_t configurationBytes;
    } cases[] = {
        { "listed", "b", "z", true, 100 },
        { "its lease ran out", "b", "z", false, 100 },
        { "first of its data centre", "0", "z", true, 100 },
        { "alone in its data centre", "b", "y", false, 100 },
        { "a change too large for a datagram", "b", "z", true, LargerThanADatagram },
    };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        Instance served(context, "a", "z");
        Instance turnedAway(context, each.id, each.dataCentre);
        turnedAway.list(served);
        if (each.isListed)
            served.list(turnedAway);
        while (!served.mirror().isComplete() || !turnedAway.mirror().isComplete())
            context.run_one();
        turnedAway.store().turnsAway = true;
        // One that a peer keeps up to date asks the store nothing, so that it never finds out.
        while (turnedAway.mirror().inContact() && !turnedAway.mirror().isFed())
            context.run_one();
        const std::string confirmed(each.configurationBytes, 'n');
        served.store().content = { 12, { { "op/config", confirmed, 12 } } };
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (turnedAway.configuration() != confirmed && std::chrono::steady_clock::now() < end)
            context.run_one_for(milliseconds(100));
        CHECK_TRUE_TEXT(turnedAway.configuration() == confirmed, each.name);
    }
}
