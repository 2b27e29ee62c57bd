#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/RequestTrait.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace crocusmount::relay {

/// Servers that are remembered for one trait. Those that end before all instances know the verdict are explained by it,
/// too.
constexpr std::size_t MaxServersPerTrait = 16;

/// What was reported of a trait: the ends of servers under requests with it, and whether such requests ran.
struct CrashRecord {
    /// The end of a server under a request.
    struct End {
        std::uint64_t server = 0; ///< engineKey
        std::uint32_t points = 0;
        TimePoint detectedAt; ///< not earlier than the end
        TimePoint lastAliveAt; ///< not later than the end
        bool isRefuted = false;
        std::set<WorkspaceId> workspaces; ///< of the requests with the trait that were there
        std::set<RequestTrait::Value> contents {}; ///< of these requests
    };

    std::vector<End> ends; ///< one for each server, oldest first
    std::uint32_t carriedPoints = 0; ///< points kept from a quarantine that has ended
    TimePoint lastEvidenceAt; ///< when a crash or verdict was last reported, or the quarantine ended
    std::optional<TimePoint> quarantinedUntil; ///< empty if the trait is not quarantined
    std::optional<TimePoint> blockableSince; ///< when the evidence became enough; empty if it is not
    bool hasRun = false; ///< an instance ran a request with the trait lately
    bool hasOwnEnd = false; ///< this instance saw one of the ends
    std::size_t position = 0; ///< among the traits of its request, see CrashSuspect

    /// @return whether the end counts and was not known, or only with fewer points, workspaces or contents
    bool add(const End&);
    /// @return the end of a server, or null if it is not known
    End* find(std::uint64_t server);
    /// @return points for all ends, whether they count or not
    std::uint32_t pointsOfAllEnds() const;
    /// @return the number of ends that runs refute
    std::uint32_t refutedCount() const;
};

} // namespace crocusmount::relay
