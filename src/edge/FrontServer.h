#pragma once

#include "edge/CallReader.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace crocusmount::relay {

class RelayNode;

/// Takes calls from callers over HTTP/1.1 and writes them their answers.
class FrontServer {
public:
    /// @return the listening server, or the reason it cannot listen
    static absl::StatusOr<std::unique_ptr<FrontServer>> make(
        net::io_context&, const std::string& address, RelayNode&, const CallReader&);
    ~FrontServer();

    /// From now on each answer asks its caller to close the connection.
    void announceClose();
    /// Closes the connections that wait for a next call, so that it goes elsewhere.
    void closeIdle();
    /// Takes no further connections.
    void stopAccepting();
    std::size_t connections() const;
    /// @return calls that were read and whose answers are not yet written
    std::size_t busy() const;

private:
    struct Shared;
    class Connection;
    explicit FrontServer(std::shared_ptr<Shared>);
    static Awaitable<void> acceptLoop(std::shared_ptr<Shared>);

    std::shared_ptr<Shared> m_shared;
};

} // namespace crocusmount::relay
