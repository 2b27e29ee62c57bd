#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// Progress of an unfinished request.
enum class RequestState {
    Queued, ///< waits for a chain with free capacity, or is being retried
    Claiming, ///< waits until the store confirms the claim of its idempotency key
    Running, ///< an attempt is in progress
};

/// A request from its arrival to its final answer.
struct Request {
    RequestId id;
    RequestSpec spec;
    RequestState state = RequestState::Queued;
    TimePoint arrivedAt;
    TimePoint deadline;
    AttemptId attempt; ///< the latest attempt; the fields of an attempt are valid while it runs
    Chain chain; ///< stages of the latest attempt
    TimePoint attemptStartedAt;
    TimePoint lastTokenAt; ///< time of the attempt's last token; its start if there is none
    std::uint32_t attemptTokens = 0; ///< received in the latest attempt
    std::vector<std::string> deliveredTokens; ///< text of the tokens sent to the caller, over all attempts
    std::vector<RequestId> joinedRequests; ///< later requests with this key, which get this request's answer
    std::vector<BackendId> avoidedBackends; ///< backend servers that may have failed an earlier attempt or refused it
    std::string keyHash; ///< hash of workspace and idempotency key; empty: no key
    std::string nonce; ///< identifies this request in claims, unique over all instances and their restarts
    std::uint32_t attempts = 0; ///< started so far
    bool hasClaim = false; ///< the store has confirmed the claim of the key for this request
    bool mayHaveRun = false; ///< the request may have run on a backend server
    bool hasCallerLeft
        = false; ///< true while the request continues for joined requests or because it may not be repeated
    bool hasNoRoute = false; ///< at the last try to dispatch, no chain existed even without the limit on streams
};

} // namespace crocusmount
