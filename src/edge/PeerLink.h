#pragma once

#include "edge/PeerCopies.h"
#include "edge/PeerSink.h"
#include "edge/StoreMirror.h"
#include "relay/LimitCoordinators.h"
#include "relay/LoadExchange.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

class InstanceRegistry;
struct PeerDatagram;

namespace relay {
    class RelayNode;
}

/// Exchanges data with the other instances over UDP:
/// - Load reports of the LoadExchange, whose sums are posted to the relay.
/// - Changes of the platform's store. Few instances watch the store; a distributor in each data centre passes its
///   changes on to the others there.
/// - Findings of the relay, and permits for servers that name a limit, see PeerSink.
///
/// Serves whole copies of the store over TCP, on the port of the same number, see PeerCopies.
class PeerLink final : public PeerSink {
public:
    /// Counters of the UDP socket since the start.
    struct Traffic {
        std::uint64_t sentBytes = 0;
        std::uint64_t sendErrors = 0; ///< datagrams
        std::uint64_t received = 0; ///< datagrams, including malformed ones
        std::uint64_t malformed = 0; ///< datagrams
        std::uint64_t misdirectedPermitRequests = 0; ///< for servers that another instance coordinates
    };

    /// Binds to the peer address of the registry's own entry and starts to exchange data.
    /// @param linkMbps  bandwidth of this instance's network link in Mbit/s, from which the limits for load reports and
    ///                  store changes are derived; 0: unknown, no limits
    /// @return the link, or the error of parsing or binding the address
    static absl::StatusOr<std::unique_ptr<PeerLink>> make(
        net::io_context&, relay::RelayNode&, InstanceRegistry&, StoreMirror&, double linkMbps = 0);

    /// @return whether this instance passes the store's changes on to the others of its data centre
    bool distributesStoreChanges() const { return m_mirror.distributesChanges(); }
    /// @return whether this instance knows what the others report, for example that they reach no backend server: false
    ///         until their reports can have arrived since its start or a pause of its process, and while it shuts down
    ///         and hears none; true at once without others
    bool hasCurrentReports() const;
    const Traffic& traffic() const { return m_traffic; }
    const PeerCopies::Traffic& copyTraffic() const { return m_copies.traffic(); }

private:
    PeerLink(net::io_context&, relay::RelayNode&, InstanceRegistry&, StoreMirror&, double linkMbps);
    Awaitable<void> receiveLoop();
    Awaitable<void> roundLoop();
    void makeRound();
    /// @return whether the process has made no round for so long that all reports have expired
    bool wasPaused() const;
    void receive(const std::string& bytes, const Udp::endpoint& from);
    void distribute(const StoreMirror::Changes&);
    void forward(PeerDatagram, const std::string& after, const std::string& until);
    void onShareFinding(const relay::effect::ReportEngineState&) override;
    void onShareCrashes(const relay::effect::ShareCrashes&) override;
    void onShareSoundRuns(const relay::effect::ShareSoundRuns&) override;
    void onShareServerLimit(const relay::effect::ShareServerLimit&) override;
    void onShareReturn(const relay::effect::ShareReturn& share) override { m_exchange.announceReturn(share.promise); }
    void onRequestPermits(const relay::effect::RequestPermits&) override;
    void onAnswerPermits(const relay::effect::AnswerPermits&) override;
    void receivePermitRequest(const relay::PermitRequest&, const Udp::endpoint& from);
    /// @param server  key of the server, see relay::engineKey
    /// @return the instance that grants permits for a server, or nothing if none is available
    std::optional<InstanceId> coordinatorOf(std::uint64_t server);
    void updateCoordinators();
    void sendRepeatedly(std::string bytes);
    void sendRepeats();
    void reportStoreCopy();
    void announceLeaving();
    void sendToAll(const std::string& bytes);
    void sendToDataCentre(const std::string& bytes);
    void send(const std::string& address, const std::string& bytes);

    net::io_context& m_context;
    relay::RelayNode& m_node;
    InstanceRegistry& m_registry;
    StoreMirror& m_mirror;
    relay::LoadExchange m_exchange;
    relay::LimitCoordinators m_coordinators;
    /// Of the other listed instances, and of unlisted ones that asked for permits, as of m_coordinatorsUpdatedAt.
    std::map<InstanceId, std::string> m_addresses;
    TimePoint m_coordinatorsUpdatedAt;
    Udp::socket m_socket;
    PeerCopies m_copies;
    std::size_t m_changeSendBytes; ///< limit on the bytes sent for one datagram of store changes; 0: no limit
    std::unique_ptr<HttpServer> m_copyServer;
    Traffic m_traffic;
    /// A datagram that is sent again in each of the next rounds.
    struct RepeatedDatagram {
        std::string bytes;
        int roundsLeft = 0;
    };
    std::vector<RepeatedDatagram> m_repeatedDatagrams;
    std::uint64_t m_rounds = 0; ///< since the start or the last pause of the process
    TimePoint m_lastRoundAt;
    int m_leavingAnnouncements = 0; ///< rounds in which this instance has announced that it leaves
    bool m_distributedStoreChanges = false; ///< last logged value of distributesStoreChanges()
    bool m_reportedOutdated = false; ///< last state of the store copy that was posted to the relay
    bool m_knowsOtherLoads = false; ///< the last round had a recent sum of the other instances' loads
};

} // namespace crocusmount
