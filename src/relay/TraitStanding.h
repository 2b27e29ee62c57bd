#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>

namespace crocusmount::relay {

/// What is known about a trait of requests, in ascending order of precedence.
enum class TraitStanding {
    Unknown, ///< no request with it has run lately, and no server has ended under one
    Harmless, ///< a request with it ran lately, and no server has ended under one since
    Suspected, ///< servers ended under requests with it, too few for a verdict
    Doubtful, ///< it ran lately, and several servers ended since, which may be by chance: sent one at a time
    Blocked, ///< requests with it are sent to no server
};

/// The evidence about a trait.
struct TraitEvidence {
    bool hasRun = false; ///< a request with it ran lately without crashing its server, on any instance
    std::uint32_t points = 0; ///< for the ends of servers that no blocked trait explains and that no later run refutes
    Duration span {}; ///< from the first of these ends to the last, at least
    bool isPartOfOneWorkspace = false; ///< the part may be in the prompts of other workspaces, too
    /// Of a trait of all workspaces: the points that remain without the ends to which one workspace contributed, for
    /// the workspace with the most.
    std::optional<std::uint32_t> independentPoints {};
    std::uint32_t explainedEnds = 0; ///< ends of servers that another, blocked trait explains
    std::uint32_t refutedEnds = 0; ///< ends of servers that later runs refute
    bool isQuarantined = false; ///< there is a verdict that has neither expired nor been lifted
};

/// Points of evidence at which a trait is blocked. Three servers that ended just after they began to run requests with
/// the trait are enough, or six at which such requests were waiting. A harmless trait would have to be at that many
/// crashed servers by chance.
constexpr std::uint32_t MinPointsToBlock = 6;
/// Points at which a trait that ran lately is doubtful: two servers.
constexpr std::uint32_t MinPointsToDoubt = 4;
/// Points that must not depend on any one workspace before a trait of all workspaces is blocked: two servers.
constexpr std::uint32_t MinIndependentPointsToBlock = 4;
/// Points at which a part of one workspace is blocked if requests with the part, of any workspace, ran before. In the
/// requests of one workspace the part may be too rare for runs that refute ends by chance.
constexpr std::uint32_t MinPointsAfterRunInOneWorkspace = 10;
/// Limits how many more points are needed because of ends that another trait explains.
constexpr std::uint32_t MaxAddedPointsToBlock = 2;
/// Points that are needed in addition for each end that a later run refutes, and at most.
constexpr std::uint32_t AddedPointsPerRefutedEnd = 2;
constexpr std::uint32_t MaxAddedPointsForRefutedEnds = 4;

/// Minimum time between the ends under a trait that ran before. If all servers of a service end in a short time,
/// requests with a popular trait were just beginning to run on each of them, and none runs any more that would refute
/// the ends.
constexpr Duration MinSpanAfterRun = std::chrono::milliseconds(600);

/// An explained or refuted end shows that requests with the trait are on crashed servers by chance, so more evidence is
/// needed.
/// @return the points that are missing until the trait is blocked
std::uint32_t missingPoints(const TraitEvidence&);

/// @return the standing of a trait
TraitStanding classifyTrait(const TraitEvidence&);

} // namespace crocusmount::relay
