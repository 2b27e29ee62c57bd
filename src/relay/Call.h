#pragma once

#include "crocusmount/Chain.h"
#include "relay/CallSpec.h"
#include "relay/RouteTable.h"

#include <memory>

namespace crocusmount::relay {

enum class CallState {
    Waiting, ///< for a server with room
    Running,
};

/// One call between its arrival and its final answer.
struct Call {
    RequestId id;
    CallSpec spec;
    std::shared_ptr<const RouteTable> routes; ///< under which it was admitted; keeps the route alive
    const Route* route = nullptr;
    ServiceId service;
    WorkspaceId workspace; ///< empty on an anonymous route
    int rank = 0;
    CallState state = CallState::Waiting;
    TimePoint arrived;
    TimePoint deadline; ///< the earlier of the caller's and the route's
    TimePoint waitUntil; ///< the longest wait for room
    AttemptId attempt; ///< the one running
    BackendId server; ///< its first stage
    Chain chain; ///< its stages; empty for a plain service
    double tokens = 0; ///< prompt and expected answer, booked on the stages
    TimePoint attemptStarted;
    TimePoint lastProgress;
    Duration usualGap {}; ///< moving average between two events
    std::uint32_t attemptEvents = 0;
    std::uint32_t attempts = 0; ///< ended ones that a server may have run
    std::uint32_t rejections = 0; ///< attempts that reached no server, or one that did not run the call
    bool sent = false; ///< the running attempt's bytes went out
    bool mayHaveRun = false;
    bool answering = false; ///< the caller has a part of the answer
    std::uint64_t lastEvent = 0; ///< that the caller has
    Chain reroute; ///< ordered and not yet answered; no hops: none
    std::uint32_t reroutes = 0; ///< of the running attempt
    std::vector<BackendId> avoid; ///< failed this call before
};

} // namespace crocusmount::relay
