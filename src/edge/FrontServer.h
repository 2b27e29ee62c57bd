#pragma once

#include "edge/CallReader.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>

namespace crocusmount {
class ClientConnections;
}

namespace crocusmount::relay {

class RelayNode;

/// HTTP/1.1 server for callers: reads their calls, passes the calls to the RelayNode and writes the answers.
class FrontServer {
public:
    /// Starts to listen.
    /// @param address  "ip:port" to listen on
    /// @param node     answers the calls; must outlive the connections
    /// @param reader   reads the calls' heads; must outlive the connections
    /// @param clients  the connections of all listeners; null: this server's alone, within the limits of the process
    /// @return the listening server, or the reason why it cannot listen
    static absl::StatusOr<std::unique_ptr<FrontServer>> make(net::io_context&, const std::string& address,
        RelayNode& node, const CallReader& reader, std::shared_ptr<ClientConnections> clients = nullptr);
    ~FrontServer();

    /// From now on, closes each connection after its answer and announces that in the answer ("Connection: close").
    void announceClose();
    /// Closes the connections that wait for a call, so that their callers send the next call to another instance.
    /// @param firstCallTime  how long a connection is kept that has carried no call yet: its caller has just connected
    void closeIdle(std::chrono::milliseconds firstCallTime);
    /// Accepts no further connections. Open connections are still served.
    void stopAccepting();
    /// @return the number of open connections
    std::size_t connections() const;
    /// @return the number of calls that were read and whose answers are not yet written
    std::size_t busyCalls() const;
    /// @return the number of connections that are new, receive a call or answer one, as opposed to those that are kept
    ///         for a further call
    std::size_t activeConnections() const;
    /// @return the number of connections that ended inside a request
    std::uint64_t requestsCutOff() const;
    /// @return the number of final answers that could not be written as a whole
    std::uint64_t answersUnwritten() const;

private:
    struct Shared;
    class Connection;
    explicit FrontServer(std::shared_ptr<Shared>);
    static Awaitable<void> acceptLoop(std::shared_ptr<Shared>);

    std::shared_ptr<Shared> m_shared;
};

} // namespace crocusmount::relay
