#pragma once

#include "relay/LoadExchange.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace crocusmount {

class InstanceRegistry;

namespace relay {
    class RelayNode;
}

/// Carries LoadExchange's reports between instances as datagrams, and its sums to the relay.
class LoadLink {
public:
    struct Traffic {
        std::uint64_t sentBytes = 0;
        std::uint64_t sendErrors = 0;
        std::uint64_t received = 0;
        std::uint64_t malformed = 0;
    };

    /// @return the link, bound to the peer address of the registry's own entry, or the reason it cannot be bound
    static absl::StatusOr<std::unique_ptr<LoadLink>> make(net::io_context&, relay::RelayNode&, const InstanceRegistry&);

    const Traffic& traffic() const { return m_traffic; }

private:
    LoadLink(net::io_context&, relay::RelayNode&, const InstanceRegistry&);
    Awaitable<void> receiveLoop();
    Awaitable<void> roundLoop();
    void makeRound();
    void send(const relay::OutgoingLoadReport&);

    net::io_context& m_context;
    relay::RelayNode& m_node;
    const InstanceRegistry& m_registry;
    relay::LoadExchange m_exchange;
    Udp::socket m_socket;
    Traffic m_traffic;
    bool m_knowsOthers = false;
};

} // namespace crocusmount
