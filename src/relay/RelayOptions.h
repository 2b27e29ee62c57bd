#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/Mechanism.h"

namespace crocusmount::relay {

/// Settings of the relay's decisions. docs/decisions/0007-platform.md explains how the values without a reason here
/// were chosen.
struct RelayOptions {
    DataCentreId dataCentre; ///< data centre of this instance
    DisabledMechanisms without; ///< disabled mechanisms; none in production
    /// Retries that each call adds to the retry budget. The platform allows 0.2 per call over all instances.
    double retryRatio = 0.15;
    /// Additional retries of all instances together within the platform's time window.
    double retrySlack = 100;
    /// Window over which the platform counts retries; zero: an instance has its share of retrySlack from the start.
    Duration retryWindow {};
    /// How long a call waits for the first configuration of an instance that has just started. This covers a power
    /// failure after which all instances start at the same time while the store is still unavailable. By then callers
    /// have used the only retry that they make, and most callers that are refused do not come back.
    Duration configurationWait = std::chrono::milliseconds(3000);
    /// Limit of configurationWait as a fraction of the caller's timeout. The rest of the timeout is left for the call
    /// itself, or for a retry at another instance.
    double configurationWaitShare = 0.25;
    /// Time without a first event after which callers abandon a stream, unless four times the objective is longer.
    Duration streamPatience = std::chrono::milliseconds(2000);
    /// Maximum number of servers that may reject a call before it is refused. These servers did not run the call, so
    /// Route::maxAttempts does not count them, but the retry budget does.
    std::uint32_t maxRejections = 3;
    /// Maximum wait for a server with free capacity, as a fraction of the latency objective. After a longer wait the
    /// call itself would miss the objective.
    double queueWaitShare = 0.5;
    /// Maximum estimated need of KV cache memory on an engine as a multiple of the memory it has. Answers are often
    /// shorter than the estimates.
    double memoryOvercommit = 2;
    Duration firstEventLimit = std::chrono::milliseconds(900); ///< time without a first event that counts as a stall
    Duration minStall = std::chrono::milliseconds(450); ///< minimum gap between events that counts as a stall
    double stallFactor = 8; ///< minimum gap that counts as a stall, as a multiple of the stream's usual gap
    Duration stallAvoidance = std::chrono::seconds(3); ///< how long a stalled stage is avoided
    /// Time from the announcement that a server leaves until its streams are moved to other servers. Most streams end
    /// earlier. The server continues to run them for at least twice this time.
    Duration rerouteDelay = std::chrono::milliseconds(1000);
    std::uint32_t maxStallQueries = 3; ///< maximum number of queries for the stalled stage of one attempt
    /// Minimum time between two queries for the stalled stage of one attempt. The answers are based on stage reports of
    /// up to this age.
    Duration stallQueryInterval = std::chrono::milliseconds(200);
    std::uint32_t maxReroutes = 3; ///< maximum number of reroutes of one attempt
    /// How long new calls are accepted after the start of a drain. Calls that arrive later might not end before the
    /// process has to exit.
    Duration acceptAfterDrainStart = std::chrono::milliseconds(2800);
    /// Time until an idempotent call without an answer is also sent to another server, as a multiple of the latency
    /// objective.
    double slowCallFactor = 2;

    /// Sets the limits on the retries of all instances together, with a margin for instances that disagree on how many
    /// share them.
    /// @param ratio   retries that the platform allows for each call
    /// @param slack   further retries that it allows within each window
    /// @param window  the window over which it counts
    void setRetryLimits(double ratio, double slack, Duration window)
    {
        constexpr double UsedShare = 0.85;
        retryRatio = ratio * UsedShare;
        retrySlack = slack * UsedShare;
        retryWindow = window;
    }
};

} // namespace crocusmount::relay
