#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Reason.h"
#include "relay/CallSpec.h"
#include "relay/RouteTable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace crocusmount::relay {

enum class CallState {
    Waiting, ///< for a server with room
    Running,
};

/// One try at a call.
struct Attempt {
    AttemptId id;
    BackendId server; ///< the first stage, or the plain service's server
    Chain chain; ///< its stages; empty for a plain service
    Chain reroute; ///< ordered and not yet answered; no hops: none
    std::uint32_t reroutes = 0;
    std::uint32_t questions = 0; ///< to its first stage, where it stands still
    TimePoint lastQuestion;
    std::uint32_t events = 0; ///< delivered to the caller
    bool sent = false; ///< its bytes went out
    std::optional<TimePoint> begunAt; ///< when the head of a success came: the server had begun to run the call
    bool late = false; ///< no event came within the objective
    bool lostStage = false; ///< one of its stages has ended: without a reroute it cannot go on
    bool lostServer = false; ///< the start of the server that took it has ended
    TimePoint nextTry; ///< to replace the lost stage
    TimePoint nextMove; ///< off a stage that leaves
    std::optional<TimePoint> heldUntil; ///< what its server sends is held back for the other attempt, so long at most
    TimePoint started;

    /// @return whether a server takes part in it
    bool passes(const BackendId& id) const { return server == id || chain.contains(id); }
};

/// One call between its arrival and its final answer.
struct Call {
    RequestId id;
    CallSpec spec;
    RequestIdentity identity; ///< what it has in common with its repeats
    std::shared_ptr<const RouteTable> routes; ///< under which it was admitted; keeps the route alive
    const Route* route = nullptr;
    ServiceId service;
    WorkspaceId workspace; ///< empty on an anonymous route
    int rank = 0;
    CallState state = CallState::Waiting;
    TimePoint arrived;
    TimePoint deadline; ///< the earlier of the caller's and the route's
    TimePoint waitUntil; ///< the longest wait for room
    double tokens = 0; ///< prompt and expected answer, booked on the stages
    Attempt main; ///< while running
    std::optional<Attempt> second; ///< started because the main one stands still; the first to go on is kept
    TimePoint lastProgress; ///< an event, or the start of the main attempt
    Duration usualGap {}; ///< moving average between two events
    std::vector<BackendId> ranOn; ///< servers of ended attempts that may have run it
    std::uint32_t rejections = 0; ///< attempts that reached no server, or one that did not run the call
    std::optional<Reason> interruption; ///< why its answer waits for another server
    TimePoint nextResume; ///< no search for that server before
    bool awaitsRetry = false; ///< the service's retries were spent at the last search
    TimePoint lastDelivered; ///< when the caller had the last event
    bool mayHaveRun = false;
    bool answering = false; ///< the caller has a part of the answer
    std::uint64_t lastEvent = 0; ///< that the caller has
    bool ranSoundly = false; ///< for longer than a request that crashes its server does
    std::optional<TimePoint> heldUntil; ///< it is out of the queue until it is known what ended its servers
    std::optional<TimePoint> holdEnd; ///< it is held no longer
    std::vector<BackendId> avoid; ///< failed this call before

    /// @return whether a server failed it; how late such a call is tells nothing of the load
    bool hasMetTrouble() const { return !avoid.empty(); }

    /// @return the running attempt of that id, which is one of the two
    Attempt& attempt(AttemptId wanted) { return main.id == wanted ? main : *second; }

    bool hasFailed() const { return !ranOn.empty() || rejections; }

    void addAvoided(const BackendId& id)
    {
        if (std::find(avoid.begin(), avoid.end(), id) == avoid.end())
            avoid.push_back(id);
    }
};

} // namespace crocusmount::relay
