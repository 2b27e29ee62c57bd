#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Reason.h"
#include "relay/CallSpec.h"
#include "relay/EndSign.h"
#include "relay/RequestTrait.h"
#include "relay/RouteTable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace crocusmount::relay {

enum class CallState {
    Waiting, ///< queued for a server with capacity, held back, or interrupted
    Running, ///< has at least one attempt in flight
};

/// A server that is not known to be alive since the end of an answer.
struct UnverifiedServer {
    BackendId id;
    StartTime start; ///< the start that the answer depended on; zero if an id is used for one start only
};

/// The end of an answer that does not show whether the answer is complete.
struct UnprovenEnd {
    TimePoint endedAt;
    TimePoint continueFrom; ///< earliest time of the next attempt elsewhere, if the call may be repeated
    std::vector<UnverifiedServer> unverified;

    /// @return whether the end depends on a server
    bool dependsOn(const BackendId& server) const
    {
        return std::any_of(unverified.begin(), unverified.end(), [&](const auto& each) { return each.id == server; });
    }
};

/// One attempt to run a call at a backend server.
struct Attempt {
    AttemptId id;
    BackendId server; ///< the first stage of a chain, or the server of a plain service
    StartTime serverStart; ///< start of `server` that was known when the attempt was started; zero if none
    Chain chain; ///< stages that run the call; empty for a plain service
    Chain pendingReroute; ///< chain of a reroute that the first stage has not answered yet; empty if there is none
    std::uint32_t rerouteCount = 0; ///< reroutes ordered
    std::uint32_t stallQueries = 0; ///< times the first stage was asked which stage has stalled
    TimePoint lastStallQueryAt;
    std::uint32_t eventsDelivered = 0; ///< events of this attempt that the caller received
    bool wasSent = false; ///< bytes of the call were sent, so the server may have run it
    std::optional<TimePoint> answerBegunAt; ///< when a success header arrived, so the server had begun to run the call
    bool wasHarmless = false; ///< ran to its end, or longer than a request that crashes its server, see MinHarmlessRun
    bool isFirstEventLate = false; ///< no event arrived within the route's objective
    bool hasLostStage = false; ///< a stage has ended, and only a reroute lets the attempt continue
    bool hasServerEnded = false; ///< the process of `server` that accepted the attempt has ended
    TimePoint nextReplacementAt; ///< earliest time of the next search for a replacement of the lost stage
    TimePoint nextMoveAt; ///< earliest time of the next search for a way off a leaving stage
    std::optional<TimePoint> answerHeldUntil; ///< latest time until which events are held back for the second attempt
    std::optional<UnprovenEnd> unprovenEnd; ///< set once the attempt has ended that way
    TimePoint startedAt;

    /// @return whether the server is the attempt's server or one of its stages
    bool usesServer(const BackendId& id) const { return server == id || chain.contains(id); }
    /// @return whether the attempt may go on although this sign shows that a server has ended: its connection is open
    bool mayOutlive(const BackendId& ended, EndSign sign) const
    {
        return server == ended && sign == EndSign::RefusedConnection;
    }
};

/// A call from its admission to its final answer.
struct Call {
    RequestId id;
    CallSpec spec;
    /// What other requests may share and that may crash servers: the content, then the parts of the prompt in order,
    /// each for the workspace and for all.
    std::vector<RequestTrait> traits;
    std::shared_ptr<const RouteTable> routes; ///< table at admission; owns `route`
    const Route* route = nullptr;
    ServiceId service;
    WorkspaceId workspace; ///< empty on an anonymous route
    int rank = 0; ///< calls with a lower rank are placed first
    CallState state = CallState::Waiting;
    TimePoint arrived;
    TimePoint deadline; ///< the earlier of the caller's deadline and the route's timeout
    TimePoint waitUntil; ///< a call still waiting at this time is refused or broken off
    double tokens = 0; ///< prompt and expected answer, in tokens; booked on each stage
    Attempt main; ///< meaningful only in state Running
    std::optional<Attempt> second; ///< runs beside `main`; the first of the two to deliver an event is kept
    TimePoint lastProgress; ///< last event, start of the main attempt, order of a reroute, or end of an answer hold
    Duration meanEventGap {}; ///< moving average of the time between two events
    std::vector<BackendId> mayHaveRunOn; ///< servers of ended attempts that may have run the call
    std::uint32_t rejections = 0; ///< attempts that could not connect or that the server did not run
    std::optional<Reason> interruptionReason; ///< why a partly delivered answer lost its server; set until it resumes
    TimePoint nextResumeAt; ///< earliest time of the next search for a server to resume at
    bool holdsRetryToken = false; ///< its next attempt was paid for and has not been started
    bool waitsForRetryBudget = false; ///< the last such search found the service's retry budget empty
    TimePoint lastDeliveredAt; ///< when the caller received the last event
    bool mayHaveRun = false; ///< an ended attempt may have run the call
    bool hasPartialAnswer = false; ///< the caller received at least one event
    std::uint64_t lastEventId = 0; ///< id of the last event that the caller has, here or from an earlier call
    std::optional<TimePoint> nextHoldCheckAt; ///< set while the call is kept out of the queue for a crash verdict
    std::optional<TimePoint> holdDeadline; ///< the call is queued at this time even without a verdict
    bool isTrial = false; ///< may be sent although its traits are doubtful
    bool awaitsTrial = false; ///< the last search found a server, but the call may only be sent as a trial
    /// Set while the call is kept out of the queue because this instance knows too little; it is refused at this time.
    std::optional<TimePoint> startHoldUntil;
    bool isReturning = false; ///< most likely refused before, so it can't be in time any more, see StartAdmission
    std::vector<BackendId> avoidedServers; ///< servers that failed or rejected this call, or stalled under it

    /// The delay of such a call reflects the failure, not the load, so the concurrency limit ignores it.
    /// @return whether a server failed this call before
    bool hasAvoidedServers() const { return !avoidedServers.empty(); }

    /// @param wanted  id of a running attempt of this call
    Attempt& attempt(AttemptId wanted) { return main.id == wanted ? main : *second; }

    /// @return whether an attempt was rejected, or ended after it may have run the call
    bool hasFailedAttempt() const { return !mayHaveRunOn.empty() || rejections; }

    void addAvoided(const BackendId& id)
    {
        if (std::find(avoidedServers.begin(), avoidedServers.end(), id) == avoidedServers.end())
            avoidedServers.push_back(id);
    }
};

} // namespace crocusmount::relay
