#pragma once

#include "crocusmount/ConfigurationChange.h"
#include "crocusmount/PeerMessage.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <array>
#include <functional>
#include <memory>
#include <string>

namespace crocusmount {

/// Exchanges messages with other instances as UDP datagrams, and the configuration over TCP on the same port number.
class PeerTransport {
public:
    /// Callbacks of the transport.
    struct Handlers {
        std::function<void(PeerMessage)> onMessage; ///< a message arrived
        std::function<ConfigurationChange(Revision since)> configurationSince; ///< content of the reply to a peer
        std::function<void(ConfigurationChange)> onConfiguration; ///< a fetched change arrived
    };
    /// Totals since the start of the transport.
    struct Traffic {
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedBytes = 0;
        std::uint64_t malformed = 0; ///< datagrams and frames that could not be decoded
        std::uint64_t sendErrors = 0; ///< datagrams that the socket did not accept
    };

    /// @param address  "ip:port" to bind
    /// @return the bound transport, InvalidArgument for a malformed address, or Unavailable if binding fails
    static absl::StatusOr<std::unique_ptr<PeerTransport>> make(net::io_context&, const std::string& address, Handlers);

    /// Sends a datagram without confirmation. A malformed address is ignored.
    /// @param address  "ip:port" of the peer
    void send(const std::string& address, const PeerMessage&);
    /// Requests the changes since a revision from a peer. The reply goes to onConfiguration; a failed fetch is dropped.
    /// @param address  "ip:port" of the peer
    void fetchConfiguration(const std::string& address, Revision since);
    const Traffic& traffic() const { return m_traffic; }

private:
    PeerTransport(net::io_context&, Handlers);
    Awaitable<void> receiveLoop();
    Awaitable<void> acceptLoop();
    Awaitable<void> serveConfiguration(std::shared_ptr<TcpStream>);
    Awaitable<void> fetch(std::string address, Revision since);

    net::io_context& m_context;
    Handlers m_handlers;
    Udp::socket m_socket;
    net::basic_socket_acceptor<Tcp, Executor> m_acceptor;
    Traffic m_traffic;
};

} // namespace crocusmount
