#pragma once

#include "crocusmount/Reason.h"
#include "relay/RetryLimit.h"

#include <array>
#include <cstdint>

namespace crocusmount::relay {

/// Monotonic counts of the relay.
struct RelayCounters {
    std::uint64_t calls = 0;
    std::uint64_t completed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t resumed = 0; ///< streams that went on at another chain after their first event
    std::uint64_t rerouted = 0; ///< running streams that were ordered onto another chain
    std::uint64_t reroutesRefused = 0;
    std::uint64_t stallQuestions = 0; ///< to first stages; the platform counts each as a probe
    std::uint64_t engineChecks = 0; ///< likewise counted as probes
    std::uint64_t closedEngines = 0; ///< found to take no new work though they have room
    std::uint64_t deadEngines = 0; ///< checks that were not answered
    std::uint64_t startsEnded = 0; ///< backend servers in whose place a later start was seen
    std::uint64_t entriesOutdated = 0; ///< entries of starts that had ended
    std::uint64_t entriesUnusable = 0; ///< entries with a service or layers that the configuration does not know
    std::uint64_t crashesCounted = 0; ///< ends of servers that are held against a request
    std::uint64_t crashesDismissed = 0; ///< ends that have another cause: others ended in the same moment
    std::uint64_t quarantined = 0; ///< requests that are sent to no server
    std::uint64_t requestsCleared = 0; ///< requests of which nothing is held against them any more
    std::uint64_t held = 0; ///< calls that waited until it was known what ended their servers
    std::uint64_t callersLeft = 0;
    std::uint64_t configurationsAccepted = 0;
    std::array<std::uint64_t, ReasonCount> refused {}; ///< final answers other than a server's, by reason
    std::array<std::uint64_t, ReasonCount> retried {}; ///< further attempts, by the reason of the one before
    /// Calls whose attempt failed and that were not tried again, by what kept them from it.
    std::array<std::uint64_t, RetryLimitCount> retriesDenied {};
};

} // namespace crocusmount::relay
