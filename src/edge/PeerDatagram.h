#pragma once

#include "edge/StoreMirror.h"
#include "relay/CrashReport.h"
#include "relay/LoadReport.h"
#include "relay/PermitAnswer.h"
#include "relay/PermitRequest.h"
#include "relay/SoundRun.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// What an instance tells the others of the limit of a server.
struct ServerLimitReport {
    std::uint64_t server = 0; ///< key of one start of the server, see relay::engineKey
    relay::ServerLimit limit;
};

/// Content of a datagram between entry instances. Each part is optional.
struct PeerDatagram {
    std::optional<relay::LoadReport> loads;
    std::optional<StoreMirror::Progress> storeProgress; ///< of the sender's copy of the store
    std::optional<StoreMirror::Changes> storeChanges;
    std::vector<std::uint64_t> deadEngines {}; ///< keys of engines that a health check of the sender just found dead
    std::vector<std::uint64_t> closedEngines {}; ///< keys of engines that reject new work although they have room
    std::optional<std::uint64_t> leavingInstance {}; ///< key of the sender, when callers must no longer be sent to it
    std::vector<relay::CrashReport> crashes {}; ///< requests during which the sender saw servers crash
    /// The receiver forwards storeChanges to the instances with ids after its own, up to and including this id; empty:
    /// no forwarding.
    std::string forwardUntil {};
    std::vector<relay::SoundRun> soundRuns {}; ///< of requests with suspected traits, on the sender
    std::optional<relay::PermitRequest> permitRequest {};
    std::optional<relay::PermitAnswer> permitAnswer {};
    std::optional<ServerLimitReport> serverLimit {}; ///< the limit has begun or ended
};

/// The clocks of instances differ, so the times of server limits are transferred as the time that has passed since.
/// @param now  time of the sender's clock; needed only with server limits
/// @return the datagram in Thrift's compact protocol (RelayDatagram in src/idl/peer.thrift)
std::string encode(const PeerDatagram&, TimePoint now = {});

/// @param now  time of the receiver's clock; needed only with server limits
/// @return the datagram, or InvalidArgument if the bytes are not a valid one
absl::StatusOr<PeerDatagram> decodePeerDatagram(const std::string& bytes, TimePoint now = {});

} // namespace crocusmount
