#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"
#include "relay/Mechanism.h"

namespace crocusmount::relay {

/// The settings of the relay's decisions. Where a figure has no other origin, docs/decisions/0007-platform.md says
/// how it was chosen.
struct RelayOptions {
    DataCentreId dataCentre; ///< of this instance
    DisabledMechanisms without; ///< none in production
    double retryRatio = 0.15; ///< retries that each call earns; the platform allows 0.2 over all instances
    double retrySlack = 100; ///< retries over all instances beyond that, within the platform's window
    /// An instance has its share of the slack only after this time from its start: one that starts again and again must
    /// not have the whole share each time.
    Duration retryRipening {};
    /// How long a call waits for the first configuration of an instance that has just started. The load that it
    /// answers: all instances lose power and start together while the store is still away; their callers have spent the
    /// one retry that they make, and most that are refused then do not come back.
    Duration configurationWait = std::chrono::milliseconds(3000);
    /// The same as part of the caller's patience: the rest is for the call itself, or for another instance.
    double configurationWaitShare = 0.25;
    /// Servers that may turn one call away before it is refused. They did not run it, so that maxAttempts of the route
    /// does not count them; the retry budget does.
    std::uint32_t mostRejections = 3;
    /// Part of the objective for which a call waits for room. Longer waits turn late what then runs.
    double queueWaitShare = 0.5;
    /// Multiple of an engine's memory that all calls through it may need by the estimates: answers are often shorter.
    double memoryOvercommit = 2;
    Duration firstEventLimit = std::chrono::milliseconds(900); ///< without an event, before a chain counts as stalled
    Duration minStall = std::chrono::milliseconds(450); ///< shortest gap in a stream that counts as a stall
    double stallFactor = 8; ///< a stall is this many of the stream's usual gaps
    Duration suspicion = std::chrono::seconds(3); ///< how long a stage that stands still is avoided
    /// Streams are moved off a leaving server after this time; most end by themselves before, and the server serves for
    /// at least twice as long.
    Duration rerouteDelay = std::chrono::milliseconds(1000);
    std::uint32_t mostQuestions = 3; ///< to the first stage of one attempt, where it stands still
    /// Between two such questions; reports are as old as that.
    Duration questionInterval = std::chrono::milliseconds(200);
    std::uint32_t mostReroutes = 3; ///< of one attempt
    /// After the order to leave, calls are taken only this long: longer ones could not end before the process must.
    Duration lastCall = std::chrono::milliseconds(2800);
    /// Multiple of the objective after which an idempotent call tries another server.
    double slowCallFactor = 2;
};

} // namespace crocusmount::relay
