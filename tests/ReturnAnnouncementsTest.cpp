#include "edge/PeerDatagram.h"
#include "relay/LoadExchange.h"
#include "tests/Tests.h"

#include <map>
#include <set>
#include <string>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration RoundInterval = milliseconds(150);

/// Instances of three data centres that exchange encoded load reports, on a virtual clock. The clock of each one is
/// ahead of the virtual one by another time.
class ReturnNetwork {
public:
    explicit ReturnNetwork(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = "i" + std::to_string(1000 + i);
            m_peers.push_back({ InstanceId(id), DataCentreId(std::string(1, static_cast<char>('a' + i % 3))), id });
        }
        for (std::size_t i = 0; i < count; ++i) {
            m_index[m_peers[i].address] = i;
            m_exchanges.emplace_back(m_peers[i]);
            std::vector<LoadPeer> others = m_peers;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            m_exchanges.back().setPeers(std::move(others), clockOf(i));
        }
        m_known.resize(count);
        m_received.resize(count);
    }

    TimePoint clockOf(std::size_t instance) const { return m_now + seconds(instance); }
    LoadExchange& exchange(std::size_t instance) { return m_exchanges[instance]; }
    /// Runs a round of all instances.
    /// @param lossRate  share of the datagrams that are lost
    void runRound(double lossRate = 0)
    {
        m_now += RoundInterval;
        for (std::size_t i = 0; i < m_exchanges.size(); ++i) {
            for (const auto& outgoing : m_exchanges[i].makeRound({}, clockOf(i))) {
                const std::size_t receiver = m_index.at(outgoing.address);
                const PeerDatagram datagram { outgoing.report, std::nullopt, std::nullopt, {} };
                PeerDatagram without = datagram;
                without.loads->promisedReturns.clear();
                const std::string bytes = encode(datagram, clockOf(i));
                m_received[receiver] += bytes.size() - encode(without, clockOf(i)).size();
                m_randomState = m_randomState * 6364136223846793005ULL + 1442695040888963407ULL;
                if (static_cast<double>(m_randomState >> 11U) / 9007199254740992.0 < lossRate)
                    continue;
                const auto decoded = decodePeerDatagram(bytes, clockOf(receiver));
                CHECK_TRUE(decoded.ok());
                m_exchanges[receiver].receive(*decoded->loads, clockOf(receiver));
            }
        }
        for (std::size_t i = 0; i < m_exchanges.size(); ++i) {
            for (const PromisedReturn& each : m_exchanges[i].takeReturns()) {
                m_worstError = std::max(
                    m_worstError, std::abs((each.begin - seconds(i) - TimePoint()).count() - m_begins.at(each.key)));
                CHECK_TRUE(m_known[i].insert(each.key).second);
            }
        }
    }
    /// @param in  time until the slot begins
    void promise(std::size_t instance, std::uint64_t key, Duration in)
    {
        m_begins[key] = (m_now + in - TimePoint()).count();
        m_exchanges[instance].announceReturn({ key, clockOf(instance) + in });
    }
    std::size_t knownTo(std::size_t instance) const { return m_known[instance].size(); }
    std::size_t mostReceivedBytes() const { return *std::max_element(m_received.begin(), m_received.end()); }
    /// @return the largest error of a slot's begin, in microseconds
    std::int64_t worstError() const { return m_worstError; }

private:
    std::vector<LoadPeer> m_peers;
    std::vector<LoadExchange> m_exchanges;
    std::map<std::string, std::size_t> m_index;
    std::vector<std::set<std::uint64_t>> m_known;
    std::vector<std::size_t> m_received; ///< bytes of promises
    std::map<std::uint64_t, std::int64_t> m_begins;
    std::int64_t m_worstError = 0;
    std::uint64_t m_randomState = 5;
    TimePoint m_now = timePoint(1'000'000'000);
};

} // namespace

TEST_GROUP(ReturnAnnouncements) {};

TEST(ReturnAnnouncements, AllInstancesLearnOfAPromiseOnceWithinThreeRounds)
{
    for (const std::size_t count : { 9, 37, 88 }) {
        ReturnNetwork network(count);
        network.runRound();
        network.promise(count - 1, 77, seconds(3));
        for (int round = 0; round < 3; ++round)
            network.runRound();
        for (std::size_t i = 0; i + 1 < count; ++i)
            CHECK_EQUAL(1U, network.knownTo(i));
        for (int round = 0; round < 20; ++round)
            network.runRound();
        CHECK_EQUAL(0U, network.knownTo(count - 1));
        CHECK_TRUE(network.worstError() <= milliseconds(50) / milliseconds(1) * 1000);
    }
}

TEST(ReturnAnnouncements, LostDatagramsCostFewPromises)
{
    ReturnNetwork network(37);
    std::uint64_t key = 1;
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 5; ++i, ++key)
            network.promise(key % 37, key, seconds(8));
        network.runRound(0.05);
    }
    for (int round = 0; round < 3; ++round)
        network.runRound(0.05);
    std::size_t known = 0;
    for (std::size_t i = 0; i < 37; ++i)
        known += network.knownTo(i);
    CHECK_TRUE(known >= 0.95 * 36 * 100);
}

TEST(ReturnAnnouncements, BytesStayWithinTheBoundHoweverManyCallersAreRefused)
{
    ReturnNetwork network(88);
    std::uint64_t key = 1;
    constexpr int RoundCount = 14;
    for (int round = 0; round < RoundCount; ++round) {
        for (std::size_t i = 0; i < 88; ++i) {
            for (int promises = 0; promises < 100; ++promises)
                network.promise(i, key++, seconds(5));
        }
        network.runRound();
    }
    // A collector hears the other instances of its data centre and two collectors of each other one.
    const std::size_t perRound
        = 8 * (29 * ReturnAnnouncements::MaxPerInstance + 5 * ReturnAnnouncements::MaxPerSum) + 4 * 34;
    CHECK_TRUE(network.mostReceivedBytes() <= RoundCount * perRound);
}

TEST(ReturnAnnouncements, PromisesAreUnchangedByEncodingToWithinTenMilliseconds)
{
    PeerDatagram datagram;
    datagram.loads = LoadReport { InstanceId("i"), DataCentreId("z"), 9, LoadScope::Fleet, 3, {}, {} };
    datagram.loads->promisedReturns
        = { { PromisedReturn::KeyMask, timePoint(5'004'000) }, { 1, timePoint(3'000'000) }, { 0, timePoint(0) } };
    const auto decoded = decodePeerDatagram(encode(datagram, timePoint(4'000'000)), timePoint(14'000'000));
    CHECK_TRUE(decoded.ok());
    const std::vector<PromisedReturn> expected { { PromisedReturn::KeyMask, timePoint(15'000'000) },
        { 1, timePoint(14'000'000) }, { 0, timePoint(14'000'000) } };
    CHECK_TRUE(decoded->loads->promisedReturns == expected);
    // An old sender omits them.
    datagram.loads->promisedReturns.clear();
    CHECK_TRUE(decodePeerDatagram(encode(datagram))->loads->promisedReturns.empty());
}
