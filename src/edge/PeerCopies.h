#pragma once

#include "edge/StoreCopySource.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"

#include <cstdint>
#include <string>

namespace crocusmount {

class InstanceRegistry;

/// Hands copies of the platform's store from instance to instance over TCP, on the port that datagrams use too: one
/// that the store turns away, or that no longer hears it, takes the copy of one that does.
///
/// A copy is pulled by the instance that lacks it. Those that pass changes on know the instances that the store lists,
/// and the lease of one that the store turns away runs out.
class PeerCopies final : public StoreCopySource, public HttpHandler {
public:
    struct Traffic {
        std::uint64_t taken = 0; ///< copies that this instance took over
        std::uint64_t given = 0; ///< copies that it gave to others
        std::uint64_t failed = 0; ///< questions without a usable answer
    };

    /// @param registry  names the instances that may be asked
    /// @param mirror    this instance's own copy, which others may ask for
    PeerCopies(net::io_context&, const InstanceRegistry& registry, const StoreMirror& mirror);

    const Traffic& traffic() const { return m_traffic; }

private:
    Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> onCopyNewerThan(std::int64_t revision) override;
    Awaitable<void> onExchange(HttpExchange&) override;
    Awaitable<absl::StatusOr<std::optional<StoreMirror::Copy>>> ask(std::string address, std::int64_t revision);
    HttpReply replyTo(const std::string& path, const std::string& after);
    void noteFailure(const absl::Status&);

    const InstanceRegistry& m_registry;
    const StoreMirror& m_mirror;
    HttpClient m_client;
    std::size_t m_nextPeer = 0; ///< another one is asked after each question that failed
    Traffic m_traffic;
    bool m_failing = false; ///< the last question had no usable answer
};

} // namespace crocusmount
