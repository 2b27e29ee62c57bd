#pragma once

#include "edge/StoreCopySource.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"

#include <cstdint>
#include <string>

namespace crocusmount {

class InstanceRegistry;

/// Transfers whole copies of the platform's store between instances, by HTTP on the TCP port of the same number as the
/// peers' UDP port. An instance whose calls the store rejects, or that has lost contact with it, fetches the copy of an
/// instance that receives answers from the store.
///
/// The instance that needs a copy requests it. It cannot rely on receiving one unasked: the distributors of changes
/// only know the instances that the store lists, and the lease of an instance whose calls the store rejects expires.
class PeerCopies final : public StoreCopySource, public HttpHandler {
public:
    /// Counters since the start.
    struct Traffic {
        std::uint64_t taken = 0; ///< copies received from other instances
        std::uint64_t given = 0; ///< copies sent to other instances
        std::uint64_t failed = 0; ///< requests to other instances without a usable answer
    };

    /// @param registry  lists the instances that can be asked; must outlive this object
    /// @param mirror    this instance's own copy, which is served to others; must outlive this object
    PeerCopies(net::io_context&, const InstanceRegistry& registry, const StoreMirror& mirror);

    const Traffic& traffic() const { return m_traffic; }

private:
    Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> onCopyNewerThan(std::int64_t revision) override;
    Awaitable<void> onExchange(HttpExchange&) override;
    Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> requestCopy(std::string address, std::int64_t revision);
    HttpReply replyTo(const std::string& path, const std::string& after);
    void noteFailure(const absl::Status&);

    const InstanceRegistry& m_registry;
    const StoreMirror& m_mirror;
    HttpClient m_client;
    std::size_t m_nextPeer = 0; ///< index of the instance to ask, modulo their number; advanced after a failure
    Traffic m_traffic;
    bool m_lastRequestFailed = false;
};

} // namespace crocusmount
