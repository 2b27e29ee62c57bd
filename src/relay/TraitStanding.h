#pragma once

#include <cstdint>

namespace crocusmount::relay {

/// What is known about a trait of requests, in ascending order of precedence.
enum class TraitStanding {
    Unknown, ///< no request with it has run lately, and no server has ended under one
    Harmless, ///< a request with it ran lately, and no server has ended under one since
    Suspected, ///< servers ended under requests with it, too few for a verdict
    Blocked, ///< requests with it are sent to no server
};

/// The evidence about a trait.
struct TraitEvidence {
    bool hasRun = false; ///< a request with it ran lately without crashing its server
    std::uint32_t points = 0; ///< for the ends of servers that no blocked trait explains, since the last such run
    std::uint32_t explainedEnds = 0; ///< ends of servers that another, blocked trait explains
    bool isQuarantined = false; ///< there is a verdict that has neither expired nor been lifted
};

/// Points of evidence at which a trait is blocked. Three servers that ended just after they began to run requests with
/// the trait are enough, or six at which such requests were waiting. A harmless trait would have to be at that many
/// crashed servers by chance.
constexpr std::uint32_t MinPointsToBlock = 6;
/// Limits how many more points are needed because of ends that another trait explains.
constexpr std::uint32_t MaxAddedPointsToBlock = 2;

/// An explained end shows that requests with the trait are on crashed servers by chance, so more evidence is needed.
/// @return the points that are missing until the trait is blocked; zero if it is
std::uint32_t missingPoints(const TraitEvidence&);

/// @return the standing of a trait
TraitStanding classifyTrait(const TraitEvidence&);

} // namespace crocusmount::relay
