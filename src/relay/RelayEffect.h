#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Ids.h"
#include "crocusmount/Reason.h"
#include "crocusmount/RunState.h"
#include "crocusmount/Time.h"
#include "relay/AttemptPurpose.h"
#include "relay/CancelCause.h"
#include "relay/CrashReport.h"
#include "relay/RetryLimit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusmount::relay {

/// The closed family of the relay's effects.
namespace effect {

    /// Send the call to a backend server.
    struct StartAttempt {
        AttemptId attempt;
        RequestId call;
        BackendId server; ///< the first stage; no other server may take the call
        std::string address;
        Chain chain; ///< no hops for a plain service
        Duration remaining {}; ///< until the call's deadline
        std::optional<std::uint64_t> resumeAfter; ///< the last event that the caller has
        std::string route; ///< its id, for logs
        std::string workspace; ///< empty for an anonymous route
        bool stream = false;
        AttemptPurpose purpose = AttemptPurpose::First;
    };

    /// Close the attempt's connection, so that the server stops its work.
    struct CancelAttempt {
        AttemptId attempt;
        CancelCause cause = CancelCause::Superseded; ///< for logs
    };

    /// Keep what an attempt's server sends from the caller until ContinueAnswer: another attempt goes on after the last
    /// delivered event, and a later one would reach the caller twice.
    struct HoldAnswer {
        AttemptId attempt;
    };

    /// Deliver what was held back, and what follows.
    struct ContinueAnswer {
        AttemptId attempt;
    };

    /// Ask the first stage at which stage a running stream stands still.
    struct AskStalledStage {
        AttemptId attempt;
        RequestId call;
        std::string address; ///< of the first stage
    };

    /// Ask an engine whether it lives and how slow it is.
    struct CheckEngine {
        BackendId engine;
        std::string address;
        StartTime startedAt {}; ///< the start that is known
    };

    /// Ask a plain server which start of it answers: it gives no report.
    struct ProbeServer {
        BackendId server;
        std::string address;
        std::string path; ///< of its service's health check
    };

    /// Tell the other instances under which requests servers ended.
    struct ShareCrashes {
        std::vector<CrashReport> crashes;
    };

    /// Tell the other instances that a request under which servers ended has run soundly.
    struct ShareSoundRequest {
        RequestIdentity request;
    };

    /// A server ended under a request; for the log.
    struct NoteCrash {
        CrashReport crash;
        bool counts = false; ///< false: others ended in the same moment
    };

    /// A request is sent to no server from now on.
    struct QuarantineRequest {
        RequestIdentity request;
        std::uint32_t servers = 0; ///< that ended under it, as far as this instance knows
        std::uint32_t points = 0; ///< of evidence
        bool isOwn = false; ///< this instance came to it first: it writes the verdict down
    };

    /// Nothing is held against a request any more.
    struct ClearRequest {
        RequestIdentity request;
        bool wasQuarantined = false;
        bool isOwn = false; ///< this instance saw it run
    };

    /// Tell the other instances what a check found of an engine.
    struct ShareFinding {
        enum class Finding {
            Dead,
            Closed, ///< it has room and takes no new work: it leaves, or gives up its layers
        };
        BackendId engine;
        StartTime startedAt {};
        Finding finding = Finding::Dead;
    };

    /// A belief about a backend server changed on another's word; for the log.
    struct NoteBelief {
        enum class Belief {
            ProcessEnded, ///< no process listens there, or its entry ended as it did not answer
            StartEnded, ///< a later start took its place: what ran there is lost
            EntryOutdated, ///< it is listed, by an entry of a start that has ended
            EntryUnusable, ///< it names a service or layers that the configuration does not know
            Reinstated, ///< what was held to have followed it is gone
            ReportedDead, ///< another instance found it dead, and an own stream is silent there
            Closed, ///< it turned a call of this instance away and has room: it takes no new work
            ReportedClosed, ///< the same, on another instance's word
        };
        Belief belief;
        BackendId server;
        StartTime startedAt {};
    };

    /// Order the first stage to go on with a running stream over another chain, which begins with the same stage. The
    /// stages that stay keep their KV cache.
    struct RerouteAttempt {
        AttemptId attempt;
        RequestId call;
        std::string address; ///< of the first stage
        Chain chain;
    };

    /// The final answer to a call of which nothing was delivered.
    struct Refuse {
        RequestId call;
        Reason reason = Reason::NoCapacity;
        RunState run = RunState::NotRun;
        Duration retryAfter {}; ///< zero: no use in coming back
        std::optional<RetryLimit> limit {}; ///< what kept it from another attempt; none: no attempt failed
    };

    /// The final answer: the failure that a server gave, which the shell keeps.
    struct DeliverServerFailure {
        RequestId call;
    };

    /// End a partly delivered answer so that it cannot look complete.
    struct BreakAnswer {
        RequestId call;
        Reason reason = Reason::ConnectionLost;
        std::optional<RetryLimit> limit {}; ///< what kept it from another attempt
    };

} // namespace effect

using RelayEffect = std::variant<effect::StartAttempt, effect::CancelAttempt, effect::HoldAnswer,
    effect::ContinueAnswer, effect::AskStalledStage, effect::CheckEngine, effect::ProbeServer, effect::ShareCrashes,
    effect::ShareSoundRequest, effect::NoteCrash, effect::QuarantineRequest, effect::ClearRequest, effect::ShareFinding,
    effect::NoteBelief, effect::RerouteAttempt, effect::Refuse, effect::DeliverServerFailure, effect::BreakAnswer>;
using RelayEffects = std::vector<RelayEffect>;

} // namespace crocusmount::relay
