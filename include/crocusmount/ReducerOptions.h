#pragma once

#include "crocusmount/PeerMessage.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <string>

namespace crocusmount {

/// Safety checks of the core. Every program enables all of them; a test disables one to show that the test detects its
/// absence.
struct Guards {
    bool claimBeforeDispatch = true; ///< dispatch a non-repeatable request only after its idempotency key is claimed
    bool verifyTrace = true; ///< fail an attempt if a token's trace differs from the trace of its chain
    bool dropDoubledFrames = true; ///< drop tokens that were already delivered
    bool dropCrossedFrames = true; ///< drop frames that name another attempt than the one of their connection
    bool checkFrameOrder = true; ///< fail an attempt if a token is missing
    bool checkEndCount = true; ///< fail an attempt if the token count in its end frame differs from the tokens received
    bool neverRevert = true; ///< ignore configurations that are not newer than the one in force or do not follow it
    bool settleUnknownClaims = true; ///< read the claim log after a write with an unknown outcome
    bool truthfulRunState = true; ///< answer RunState::NotRun only if no attempt may have run
    bool keepNonRepeatable = true; ///< do not retry a non-repeatable request that may have run
    bool refuseLeaving = true; ///< send no new work to backend servers that are leaving
    bool waitForStreams = true; ///< finish a drain only after all requests have ended
};

/// The settings of the core.
struct ReducerOptions {
    MemberUpdate self; ///< this instance; its incarnation must be higher after each restart
    std::string picker = "flow"; ///< name for ChainPicker::make()
    std::uint32_t claimShards = 1; ///< number of shards of the claim log; at least 1
    Duration claimTimeout = std::chrono::seconds(2); ///< longest wait for a claim before the request fails as not run
    Duration minClaimCallInterval
        = std::chrono::milliseconds(50); ///< shortest interval between store calls for one shard
    Duration claimRetention = std::chrono::hours(24); ///< how long a claimed idempotency key is kept
    std::uint32_t queueLimit = 4096; ///< waiting requests per pipeline
    double streamHeadroom = 1.8; ///< open streams per stage, as a multiple of the number that ideally fills its slots
    double pickJitter = 0.02; ///< random part of a stage's fill; keeps instances from all picking the same stage
    double urgentHeadroom = 3; ///< replaces streamHeadroom for lookups, service calls and resumed streams
    Duration hopLatency = std::chrono::microseconds(300); ///< expected latency between two stages
    std::uint32_t maxAttempts = 6; ///< attempts per request, including the first; at least 1
    double retryRatio = 0.2; ///< retries that each new request adds to the retry budget
    double retryBurst = 200; ///< capacity of the retry budget, in retries
    Duration minStall = std::chrono::milliseconds(400); ///< shortest gap between tokens that counts as a stall
    Duration firstTokenStall = std::chrono::milliseconds(2500); ///< shortest wait for the first token that is a stall
    double stallFactor = 8; ///< a stall must also exceed this many times the pipeline's average gap
    Duration probeInterval = std::chrono::milliseconds(250); ///< between two probes of a backend server
    std::uint32_t unreachableAfter = 3; ///< consecutive missed probes after which a backend server is unreachable
    Duration reportLifetime = std::chrono::seconds(2); ///< servers with older reports get no work: they may be leaving
    Duration recoveryRamp = std::chrono::seconds(5); ///< time in which a recovered server's weight returns to normal
    std::uint32_t watchersPerBackend = 3; ///< instances that probe each backend server
    std::uint32_t subsetPerGroup = 0; ///< servers of each model and layer range that this instance uses; 0 for all
    Duration shareInterval = std::chrono::seconds(1); ///< between two reports to other instances on watched servers
    Duration gossipInterval = std::chrono::seconds(1); ///< between two pings to other instances
    Duration ackTimeout = std::chrono::milliseconds(300); ///< wait for an Ack before other instances are asked to ping
    Duration suspicionTimeout = std::chrono::seconds(3); ///< after this time a suspect instance counts as dead
    std::uint32_t followersPerDataCentre = 2; ///< instances that watch the store's configuration
    Duration isolationLimit = std::chrono::seconds(30); ///< time without store and peers before new work is refused
    Duration entryLifetime = std::chrono::seconds(5); ///< how long callers may cache the list of entry instances
    Duration answerRetention = std::chrono::seconds(60); ///< how long a complete answer is kept for its idempotency key
    std::uint32_t answerMemoryLimit = 2048; ///< complete answers kept
    Guards guards;
};

} // namespace crocusmount
