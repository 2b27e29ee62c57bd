#pragma once

#include "edge/PeerCopies.h"
#include "edge/PeerSink.h"
#include "edge/StoreMirror.h"
#include "relay/LoadExchange.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

class InstanceRegistry;
struct PeerDatagram;

namespace relay {
    class RelayNode;
}

/// What instances tell each other, as datagrams: LoadExchange's reports, whose sums go to the relay; and, from the
/// instance of each data centre that follows the platform's store to the others there, the store's changes, so that few
/// instances watch it. On the same port, by TCP, whole copies of the store for instances that it does not answer.
class PeerLink final : public PeerSink {
public:
    struct Traffic {
        std::uint64_t sentBytes = 0;
        std::uint64_t sendErrors = 0;
        std::uint64_t received = 0;
        std::uint64_t malformed = 0;
    };

    /// @param linkMbps  bandwidth of this machine's network link, from which the limits for load reports and store
    ///                  changes are derived; 0: unknown, no limits
    /// @return the link, bound to the peer address of the registry's own entry, or the reason it cannot be bound
    static absl::StatusOr<std::unique_ptr<PeerLink>> make(
        net::io_context&, relay::RelayNode&, InstanceRegistry&, StoreMirror&, double linkMbps = 0);

    /// @return whether others rely on this instance for the store's changes
    bool watchesStore() const { return m_mirror.leads(); }
    const Traffic& traffic() const { return m_traffic; }
    const PeerCopies::Traffic& copyTraffic() const { return m_copies.traffic(); }

private:
    PeerLink(net::io_context&, relay::RelayNode&, InstanceRegistry&, StoreMirror&, double linkMbps);
    Awaitable<void> receiveLoop();
    Awaitable<void> roundLoop();
    void makeRound();
    void receive(const std::string& bytes);
    void passOn(const StoreMirror::Changes&);
    void forward(PeerDatagram, const std::string& after, const std::string& until);
    void onShareFinding(const relay::effect::ShareFinding&) override;
    void onShareCrashes(const relay::effect::ShareCrashes&) override;
    void onShareSoundRequest(const relay::effect::ShareSoundRequest&) override;
    void sendRepeatedly(std::string bytes);
    void repeat();
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
    Udp::socket m_socket;
    PeerCopies m_copies;
    std::size_t m_changeSendBytes; ///< budget for sending a datagram of store changes directly; 0: no limit
    std::unique_ptr<HttpServer> m_copyServer;
    Traffic m_traffic;
    struct Repeated {
        std::string bytes;
        int roundsLeft = 0;
    };
    std::vector<Repeated> m_repeated; ///< what the next rounds send once more
    int m_leavingRounds = 0; ///< in which this instance has said that it leaves
    bool m_watchedStore = false;
    bool m_reportedOutdated = false; ///< last state of the store copy that was posted to the relay
    bool m_knowsOthers = false;
};

} // namespace crocusmount
