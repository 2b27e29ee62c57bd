#include "relay/LoadExchange.h"
#include "edge/PeerDatagram.h"
#include "relay/CallPlacer.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

namespace {

/// @return an instance whose address equals its id
LoadPeer peer(const std::string& id, const std::string& dataCentre)
{
    return { InstanceId(id), DataCentreId(dataCentre), id };
}

/// Simulates the exchange between instances over a network from which instances can be cut off.
class LoadNetwork {
public:
    explicit LoadNetwork(std::vector<LoadPeer> peers, std::size_t bytesPerRound = 0)
        : m_peers(std::move(peers))
    {
        for (const LoadPeer& each : m_peers)
            m_exchanges.emplace(each.id.value(), LoadExchange(each, bytesPerRound));
        updatePeers();
    }

    /// Stops an instance from sending and receiving. The instance stays listed.
    void cutOff(const std::string& id) { m_cutOffIds.push_back(id); }
    /// Removes an instance from the list of peers. It goes on sending and receiving.
    void unlist(const std::string& id)
    {
        std::erase_if(m_peers, [&](const LoadPeer& each) { return each.id.value() == id; });
        updatePeers();
    }

    /// Starts and lists another instance.
    void list(const LoadPeer& newPeer)
    {
        m_peers.push_back(newPeer);
        m_exchanges.emplace(newPeer.id.value(), LoadExchange(newPeer));
        updatePeers();
    }
    /// @return keys of the instances that are silent as far as an instance knows
    std::set<std::uint64_t> silentInstancesKnownTo(const std::string& id)
    {
        return m_exchanges.at(id).silentInstances(m_now);
    }

    /// Runs one round of all instances, with each instance's own load on one engine.
    void runRound(const std::map<std::string, EngineLoad>& own)
    {
        std::map<std::string, std::vector<EngineLoad>> loads;
        for (const auto& [id, load] : own)
            loads[id].push_back(load);
        runRoundWithLoads(loads);
    }

    /// Runs one round of all instances, with each instance's own loads on any number of engines.
    void runRoundWithLoads(const std::map<std::string, std::vector<EngineLoad>>& own)
    {
        m_now += milliseconds(150);
        updatePeers();
        m_sentBytes.clear();
        m_receivedBytes.clear();
        for (auto& [id, exchange] : m_exchanges) {
            if (isCutOff(id))
                continue;
            const auto loads = own.find(id);
            for (const auto& outgoing :
                exchange.makeRound(loads == own.end() ? std::vector<EngineLoad>() : loads->second, m_now)) {
                ++m_datagramCount;
                const std::size_t bytes
                    = encode(PeerDatagram { outgoing.report, std::nullopt, std::nullopt, {} }).size();
                m_sentBytes[id] += bytes;
                m_receivedBytes[outgoing.address] += bytes;
                if (!isCutOff(outgoing.address))
                    m_exchanges.at(outgoing.address).receive(outgoing.report, m_now);
            }
        }
    }

    /// @return the token layers of other instances on an engine as far as an instance knows; -1 if it knows no loads
    double othersTokenLayers(const std::string& id, std::uint64_t engine)
    {
        const auto loads = m_exchanges.at(id).loadOfOthers(m_now);
        if (!loads)
            return -1;
        const auto found = loads->find(engine);
        return found == loads->end() ? 0 : found->second.tokenLayers;
    }

    TimePoint now() const { return m_now; }
    LoadExchange& exchange(const std::string& id) { return m_exchanges.at(id); }
    /// @return the number of datagrams sent so far
    std::size_t datagramCount() const { return m_datagramCount; }
    /// @return the maximum bytes of reports that one instance sent, or received, in the last round
    std::size_t maxSentBytes() const { return maxBytes(m_sentBytes); }
    std::size_t maxReceivedBytes() const { return maxBytes(m_receivedBytes); }

private:
    static std::size_t maxBytes(const std::map<std::string, std::size_t>& bytes)
    {
        std::size_t max = 0;
        for (const auto& [id, count] : bytes)
            max = std::max(max, count);
        return max;
    }

    bool isCutOff(const std::string& id) const
    {
        return std::find(m_cutOffIds.begin(), m_cutOffIds.end(), id) != m_cutOffIds.end();
    }

    /// Tells each instance the current list of the others.
    void updatePeers()
    {
        for (auto& [id, exchange] : m_exchanges) {
            std::vector<LoadPeer> others;
            for (const LoadPeer& each : m_peers) {
                if (each.id.value() != id)
                    others.push_back(each);
            }
            exchange.setPeers(std::move(others), m_now);
        }
    }

    std::vector<LoadPeer> m_peers;
    std::map<std::string, LoadExchange> m_exchanges;
    std::vector<std::string> m_cutOffIds;
    TimePoint m_now = timePoint(1000000);
    std::size_t m_datagramCount = 0;
    std::map<std::string, std::size_t> m_sentBytes;
    std::map<std::string, std::size_t> m_receivedBytes;
};

std::vector<LoadPeer> sevenPeers()
{
    return { peer("a1", "a"), peer("a2", "a"), peer("a3", "a"), peer("a4", "a"), peer("b1", "b"), peer("b2", "b"),
        peer("c1", "c") };
}

} // namespace

TEST_GROUP(LoadExchange) {};

TEST(LoadExchange, EachInstanceLearnsTheLoadOfAllOthers)
{
    LoadNetwork network(sevenPeers());
    const std::map<std::string, EngineLoad> own { { "a1", { 7, 1, 1 } }, { "a4", { 7, 10, 1 } },
        { "b2", { 7, 100, 1 } }, { "c1", { 7, 1000, 1 } } };
    for (int i = 0; i < 4; ++i)
        network.runRound(own);
    const struct {
        const char* id;
        double expected;
    } cases[] = { { "a1", 1110 }, { "a2", 1111 }, { "a4", 1101 }, { "b1", 1111 }, { "b2", 1011 }, { "c1", 111 } };
    for (const auto& each : cases)
        DOUBLES_EQUAL_TEXT(each.expected, network.othersTokenLayers(each.id, 7), 0.01, each.id);
}

TEST(LoadExchange, SumsStayKnownWhenCollectorsStop)
{
    LoadNetwork network(sevenPeers());
    const std::map<std::string, EngineLoad> own { { "a4", { 7, 10, 1 } }, { "b2", { 7, 100, 1 } } };
    for (int i = 0; i < 4; ++i)
        network.runRound(own);
    network.cutOff("a1");
    network.cutOff("b1");
    for (int i = 0; i < 10; ++i)
        network.runRound(own);
    network.unlist("a1");
    network.unlist("b1");
    DOUBLES_EQUAL(110, network.othersTokenLayers("a3", 7), 0.01);
    DOUBLES_EQUAL(110, network.othersTokenLayers("c1", 7), 0.01);
}

// Guards against loads that are underestimated because of silent instances. A third of the instances was cut off from
// the others and went on serving. Without their load, full engines looked a quarter full and rejected 1,700 calls.
TEST(LoadExchange, SilentInstancesCountAsTheAverageOfTheOthers)
{
    LoadNetwork network(sevenPeers());
    std::map<std::string, EngineLoad> own;
    for (const LoadPeer& each : sevenPeers())
        own[each.id.value()] = { 7, 10, 1 };
    for (int i = 0; i < 4; ++i)
        network.runRound(own);
    DOUBLES_EQUAL(60, network.othersTokenLayers("a3", 7), 0.01);
    network.cutOff("b1");
    network.cutOff("b2");
    network.cutOff("a4");
    for (int i = 0; i < 10; ++i)
        network.runRound(own);
    DOUBLES_EQUAL(60, network.othersTokenLayers("a3", 7), 0.01);
}

TEST(LoadExchange, LoadsAreUnknownWithoutFreshSums)
{
    LoadNetwork network(sevenPeers());
    DOUBLES_EQUAL(-1, network.othersTokenLayers("a3", 7), 0.01);
    for (int i = 0; i < 4; ++i)
        network.runRound({});
    DOUBLES_EQUAL(0, network.othersTokenLayers("a3", 7), 0.01);
    network.cutOff("a1");
    network.cutOff("a2");
    for (int i = 0; i < 10; ++i)
        network.runRound({});
    DOUBLES_EQUAL(-1, network.othersTokenLayers("a3", 7), 0.01);
}

// Guards against callers that are sent to a dead instance, which happened for two seconds after each death. The entry
// of an instance stays listed until its lease of five seconds ends.
TEST(LoadExchange, ASilentInstanceIsKnownInAllDataCentresWithinTwoSeconds)
{
    const struct {
        const char* name;
        std::vector<const char*> cutOff;
        const char* observer;
        std::size_t silentCount;
    } cases[] = {
        { "none", {}, "a3", 0 },
        { "an instance, seen from its own data centre", { "a4" }, "a3", 1 },
        { "an instance, seen from another data centre", { "a4" }, "b1", 1 },
        { "a collector", { "a1" }, "c1", 1 },
        { "instances of two data centres", { "a4", "b2" }, "a3", 2 },
        { "a whole data centre is cut off, so no collector reports its silence", { "b1", "b2" }, "a3", 0 },
        { "the observer is cut off and has no fresh sum", { "a1", "a2", "a4" }, "a3", 0 },
    };
    constexpr int RoundsInTwoSeconds = 14;
    for (const auto& each : cases) {
        LoadNetwork network(sevenPeers());
        for (int i = 0; i < 4; ++i)
            network.runRound({});
        for (const char* id : each.cutOff)
            network.cutOff(id);
        for (int i = 0; i < RoundsInTwoSeconds; ++i)
            network.runRound({});
        const std::set<std::uint64_t> silent = network.silentInstancesKnownTo(each.observer);
        CHECK_EQUAL_TEXT(each.silentCount, silent.size(), each.name);
        for (const std::uint64_t key : silent) {
            CHECK_TRUE_TEXT(std::any_of(each.cutOff.begin(), each.cutOff.end(),
                                [&](const char* id) { return instanceKey(InstanceId(id)) == key; }),
                each.name);
        }
    }
}

TEST(LoadExchange, StartingAnInstanceMakesNoInstanceSilent)
{
    LoadNetwork network(sevenPeers());
    for (int i = 0; i < 20; ++i)
        network.runRound({});
    network.list(peer("a0", "a")); // Has the lowest id, so it becomes a collector, and has received no reports yet.
    for (int i = 0; i < 20; ++i) {
        network.runRound({});
        CHECK_EQUAL(0U, network.silentInstancesKnownTo("a3").size());
        CHECK_EQUAL(0U, network.silentInstancesKnownTo("a0").size());
    }
}

TEST(LoadExchange, AnUnlistedInstanceNoLongerCounts)
{
    LoadNetwork network(sevenPeers());
    for (int i = 0; i < 4; ++i)
        network.runRound({ { "a4", { 7, 10, 1 } } });
    network.cutOff("a4");
    network.unlist("a4");
    for (int i = 0; i < 12; ++i)
        network.runRound({});
    DOUBLES_EQUAL(0, network.othersTokenLayers("b1", 7), 0.01);
}

// A draining instance leaves the list at once, and answers callers until its last call has ended.
TEST(LoadExchange, AnUnlistedInstanceTakesPartWhileItReports)
{
    const std::uint64_t cutOff = instanceKey(InstanceId("a3"));
    for (const char* draining : { "a1", "a2", "a4", "b1" }) {
        LoadNetwork network(sevenPeers());
        for (int i = 0; i < 4; ++i)
            network.runRound({});
        network.unlist(draining);
        network.exchange(draining).setLeaving(true);
        for (int i = 0; i < 12; ++i)
            network.runRound({ { draining, { 7, 10, 1 } } });
        network.exchange("a3").setCutOff(true);
        for (int i = 0; i < 4; ++i)
            network.runRound({ { draining, { 7, 10, 1 } } });
        CHECK_FALSE_TEXT(network.exchange(draining).isCollector(), draining);
        CHECK_TRUE_TEXT(network.exchange(draining).cutOffInstances(network.now()).count(cutOff), draining);
        DOUBLES_EQUAL_TEXT(10, network.othersTokenLayers("b2", 7), 0.01, draining);
        network.cutOff(draining);
        for (int i = 0; i < 12; ++i)
            network.runRound({});
        DOUBLES_EQUAL_TEXT(0, network.othersTokenLayers("b2", 7), 0.01, draining);
    }
}

// Nobody collects in the data centre of "c1" once that drains, so that none of the others hears of it.
TEST(LoadExchange, AnUnlistedInstanceAloneInItsDataCentreHearsNobody)
{
    LoadNetwork network(sevenPeers());
    for (int i = 0; i < 4; ++i)
        network.runRound({});
    network.unlist("c1");
    network.exchange("c1").setLeaving(true);
    for (int i = 0; i < 12; ++i)
        network.runRound({});
    CHECK_FALSE(network.exchange("c1").hearsOthers());
    CHECK_FALSE(network.exchange("c1").loadOfOthers(network.now()).has_value());
    CHECK_TRUE(network.exchange("a1").loadOfOthers(network.now()).has_value());
}

// An instance that was shut down 0.1 s after its start was listed for less than a round, so that none reported to it.
// It told other data centres that all of its own were silent, and their directories left those out.
TEST(LoadExchange, ALeavingInstanceThatHearsNobodyCallsNobodySilent)
{
    std::vector<LoadPeer> peers = sevenPeers();
    peers.push_back(peer("c2", "c"));
    LoadNetwork network(peers);
    network.unlist("c2");
    network.exchange("c2").setLeaving(true);
    network.exchange("c1").setCutOff(true);
    for (int i = 0; i < 20; ++i) {
        network.runRound({});
        for (const char* id : { "a1", "a4", "b1", "c1" }) {
            CHECK_TRUE(network.silentInstancesKnownTo(id).empty());
            CHECK_TRUE(i < 4 || network.exchange(id).cutOffInstances(network.now()).size() == 1);
        }
    }
    CHECK_FALSE(network.exchange("c2").hearsOthers());
    CHECK_TRUE(network.exchange("c1").hearsOthers());
}

// Reports of single instances stay in their data centre, so a round needs few datagrams even with many instances.
TEST(LoadExchange, DatagramCountGrowsLinearlyWithInstances)
{
    for (const int size : { 9, 60, 330 }) {
        std::vector<LoadPeer> peers;
        peers.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i)
            peers.push_back(peer("i" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 4))));
        LoadNetwork network(std::move(peers));
        network.runRound({});
        CHECK_TRUE(network.datagramCount() <= 5U * static_cast<unsigned>(size) + 48);
    }
}

// Guards against sums of many engines saturating the links of collectors and delaying configurations.
TEST(LoadExchange, ReportsStayWithinTheByteLimitPerRound)
{
    constexpr std::size_t BytesPerRound = 112'500; // 30% of 20 Mbit/s for 150 ms
    constexpr double OverheadFactor = 1.5; // report headers and reports from other data centres
    const struct {
        const char* name;
        std::size_t instances;
        std::uint64_t engines;
        int rounds; ///< number of rounds until the loads of all engines are known
    } cases[] = { { "all fit", 10, 90, 3 }, { "400 engines", 60, 400, 6 }, { "1,500 engines", 150, 1500, 40 } };
    for (const auto& each : cases) {
        std::vector<LoadPeer> peers;
        std::map<std::string, std::vector<EngineLoad>> own;
        for (std::size_t i = 0; i < each.instances; ++i) {
            const std::string id = std::to_string(1000 + i);
            peers.push_back(peer(id, std::string(1, static_cast<char>('a' + i % 3))));
            for (std::uint64_t engine = i % 10; engine < each.engines; engine += 10)
                own[id].push_back({ engineKey(BackendId(std::to_string(engine))), 1000, 1, 0 });
        }
        LoadNetwork network(peers, BytesPerRound);
        for (int i = 0; i < each.rounds; ++i) {
            network.runRoundWithLoads(own);
            CHECK_TRUE_TEXT(static_cast<double>(network.maxSentBytes()) < OverheadFactor * BytesPerRound, each.name);
            CHECK_TRUE_TEXT(
                static_cast<double>(network.maxReceivedBytes()) < OverheadFactor * BytesPerRound, each.name);
        }
        for (const char* id : { "1000", "1004", "1008" }) {
            const auto loads = network.exchange(id).loadOfOthers(network.now());
            CHECK_TRUE_TEXT(loads.has_value(), each.name);
            CHECK_EQUAL_TEXT(each.engines, loads->size(), each.name);
            const std::uint64_t engine = engineKey(BackendId(std::to_string(9)));
            const std::size_t reporters = each.instances / 10;
            DOUBLES_EQUAL_TEXT(
                1000.0 * static_cast<double>(reporters), loads->at(engine).tokenLayers, 1000.0, each.name);
        }
    }
}

TEST(LoadExchange, AnOldReportDoesNotReplaceANewerOne)
{
    LoadExchange exchange(peer("a1", "a"));
    const TimePoint now = timePoint(1000);
    exchange.setPeers({ peer("a2", "a") }, now);
    const auto report = [](std::uint64_t sequence, double tokenLayers) {
        return LoadReport { InstanceId("a2"), DataCentreId("a"), sequence, LoadScope::Instance, 1,
            { { 7, tokenLayers, 1 } } };
    };
    exchange.receive(report(5, 50), now);
    exchange.receive(report(4, 40), now);
    (void)exchange.makeRound({}, now);
    DOUBLES_EQUAL(50, exchange.loadOfOthers(now)->at(7).tokenLayers, 0.01);
}

TEST(LoadExchange, DatagramsAreUnchangedByEncodingAndDecoding)
{
    PeerDatagram datagram;
    datagram.loads = LoadReport { InstanceId("i"), DataCentreId("z"), 9, LoadScope::Fleet, 3, { { ~0ULL, 5, 2 } },
        { 3, ~0ULL }, 4, 7 };
    datagram.storeProgress = StoreMirror::Progress { 44, milliseconds(120), milliseconds(7) };
    datagram.storeChanges
        = StoreMirror::Changes { 40, { 44, { { { "k", "v", 43 }, false }, { { "l", "", 44 }, true } } } };
    datagram.deadEngines = { 1, ~0ULL };
    datagram.closedEngines = { 2, ~0ULL };
    datagram.leavingInstance = ~0ULL;
    datagram.forwardUntil = "j";
    const auto decoded = decodePeerDatagram(encode(datagram));
    CHECK_TRUE(decoded.ok());
    CHECK_TRUE(decoded->deadEngines == datagram.deadEngines);
    CHECK_TRUE(decoded->closedEngines == datagram.closedEngines);
    CHECK_TRUE(decoded->leavingInstance == datagram.leavingInstance);
    CHECK_TEXT("i", decoded->loads->sender.value());
    CHECK_TRUE(decoded->loads->scope == LoadScope::Fleet);
    CHECK_TRUE(decoded->loads->engines == datagram.loads->engines);
    CHECK_TRUE(decoded->loads->silentInstances == datagram.loads->silentInstances);
    CHECK_EQUAL(4U, decoded->loads->slice);
    CHECK_EQUAL(7U, decoded->loads->slices);
    CHECK_TEXT("j", decoded->forwardUntil);
    CHECK_EQUAL(44, decoded->storeProgress->revision);
    CHECK_EQUAL(120, decoded->storeProgress->age.count());
    CHECK_EQUAL(7, decoded->storeProgress->lapseGrace.count());
    CHECK_EQUAL(40, decoded->storeChanges->after);
    CHECK_EQUAL(2U, decoded->storeChanges->batch.events.size());
    CHECK_TEXT("v", decoded->storeChanges->batch.events[0].entry.value);
    CHECK_TRUE(decoded->storeChanges->batch.events[1].deleted);
}

TEST(LoadExchange, MalformedDatagramsAreRejected)
{
    const std::string bytes = encode(
        PeerDatagram { LoadReport { InstanceId("i"), DataCentreId("z"), 1, LoadScope::Instance, 1, { { 1, 1, 1 } } },
            std::nullopt, std::nullopt });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePeerDatagram(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodePeerDatagram(std::string(40, '\xff')).ok());
    LoadReport outOfRange { InstanceId("i"), DataCentreId("z"), 1, LoadScope::Instance, 1, {}, {}, 7, 7 };
    CHECK_FALSE(decodePeerDatagram(encode(PeerDatagram { outOfRange, std::nullopt, std::nullopt })).ok());
}

// Guards against calls that are sent to an engine that is full with the streams of other instances. With 59 instances
// of about ten streams each, an engine that looked empty to one instance was full.
TEST(LoadExchange, CallsAvoidEnginesThatOtherInstancesLoad)
{
    for (const char* busy : { "a", "c" }) {
        RelayHarness harness;
        EngineLoads loads;
        const std::uint64_t key = engineKey(BackendId(busy));
        loads[key] = { key, 500000, 1 };
        harness.send(relay::event::LoadsReported { loads });
        for (int i = 0; i < 3; ++i)
            CHECK_FALSE(harness.running("/draft/1").server == BackendId(busy));
    }
}

// Guards against calls that wait for a slot while another engine has free ones. Five engines held the first layer, and
// calls waited 0.4 s for one of their slots.
TEST(LoadExchange, CallsEnterAtEnginesWithFreeSlots)
{
    for (const char* busy : { "a", "c" }) {
        RelayHarness harness;
        EngineLoads loads;
        const std::uint64_t key = engineKey(BackendId(busy));
        loads[key] = { key, 0, 6 };
        harness.send(relay::event::LoadsReported { loads });
        for (int i = 0; i < 3; ++i)
            CHECK_FALSE(harness.running("/draft/1").server == BackendId(busy));
    }
}

// Guards against instances that each have to detect a failed engine by their own calls, as each of 59 instances did for
// engines that had left.
TEST(LoadExchange, AServerIsAvoidedIfEnoughOtherInstancesAvoidIt)
{
    const struct {
        std::uint32_t instances;
        double avoiders;
        bool isAvoided;
    } cases[] = { { 9, 1, false }, { 9, 2, false }, { 9, 3, true }, { 60, 3, false }, { 60, 20, true } };
    for (const auto& each : cases) {
        RelayHarness harness;
        harness.send(relay::event::InstancesCounted { each.instances });
        EngineLoads loads;
        const std::uint64_t key = engineKey(BackendId("b"));
        loads[key] = { key, 0, 0, each.avoiders };
        harness.send(relay::event::LoadsReported { loads });
        bool isUsed = false;
        for (int i = 0; i < 12; ++i)
            isUsed = isUsed || harness.running("/draft/1").chain.contains(BackendId("b"));
        CHECK_EQUAL(each.isAvoided, !isUsed);
    }
}

TEST(LoadExchange, FailedServersAreReportedAsAvoidedForSomeTime)
{
    RelayHarness harness;
    const auto isReportedAsAvoided = [&](const BackendId& id) {
        for (const EngineLoad& load : harness.reducer().fleet().ownLoads(harness.now())) {
            if (load.engine == engineKey(id) && load.avoiders > 0)
                return true;
        }
        return false;
    };
    const auto start = harness.running("/draft/1");
    const Hop last = start.chain.hops().back();
    CHECK_FALSE(isReportedAsAvoided(last.backend));
    harness.send(relay::event::AttemptEnded { start.attempt, AttemptResult::Broken, 200, last.address });
    CHECK_TRUE(isReportedAsAvoided(last.backend));
    harness.tick(std::chrono::seconds(5));
    CHECK_FALSE(isReportedAsAvoided(last.backend));
}
