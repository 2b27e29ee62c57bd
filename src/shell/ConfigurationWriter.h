#pragma once

#include "crocusmount/ConfigurationChange.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace crocusmount {

class StoreClient;

/// Result of an operator's write.
enum class ApplyResult {
    Accepted,
    Conflict, ///< another write came first, and nothing was written
    NotAccepted, ///< the store could not be reached, and nothing was written
    Unknown, ///< the store failed during the write; settle() can later find the result by the nonce
};

/// Result of a write with the state of the store.
struct ApplyOutcome {
    ApplyResult result = ApplyResult::NotAccepted;
    Revision revision; ///< of the configuration in the store; 0: unknown
    std::vector<std::string> changed; ///< on a conflict: keys that other writes changed after the base revision
};

/// Writes configuration to the platform's store. A write is atomic and succeeds only if the store still has the
/// revision that the operator saw.
class ConfigurationWriter {
public:
    explicit ConfigurationWriter(StoreClient&);

    /// Writes objects, with retries while the store does not respond.
    /// @param base     revision that the operator saw; negative: the store's current revision
    /// @param entries  validated objects; an empty value deletes the object
    /// @param nonce    id of this write, which no other write may ever use
    Awaitable<ApplyOutcome> apply(Revision base, std::vector<ConfigurationEntry> entries, std::string nonce);

    /// Finds the result of an earlier write.
    /// @param base   base revision of that write
    /// @param nonce  nonce of that write
    /// @return Accepted if the store holds the nonce, NotAccepted if the revision has changed without it, else Unknown
    Awaitable<ApplyOutcome> settle(Revision base, std::string nonce);

private:
    /// The head key of the configuration.
    struct Head {
        Revision revision;
        std::vector<std::string> nonces; ///< of the latest writes, oldest first
    };

    Awaitable<absl::StatusOr<Head>> readHead();
    /// @return a conflict with the keys that changed after the base revision
    Awaitable<ApplyOutcome> describeConflict(Revision base, Revision current);

    StoreClient& m_store;
};

} // namespace crocusmount
