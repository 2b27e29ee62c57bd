#pragma once

#include "crocusmount/Ids.h"
#include "relay/AnswerEnding.h"
#include "relay/CallSpec.h"
#include "relay/ConnectFailure.h"
#include "relay/CrashReport.h"
#include "relay/LoadReport.h"
#include "relay/Mechanism.h"
#include "relay/PermitAnswer.h"
#include "relay/PermitRequest.h"
#include "relay/RegisteredServer.h"
#include "relay/ServerNotice.h"
#include "relay/SoundRun.h"

#include <memory>
#include <optional>
#include <variant>

namespace crocusmount::relay {

class RouteTable;

/// How an attempt at a backend server ended.
enum class AttemptResult {
    Completed, ///< a successful answer was delivered completely
    Unproven, ///< all events received were delivered; the answer is complete, or its server died between two events
    ServerFailure, ///< the server answered with a complete failure, which the shell stores; the call counts as run
    NotRun, ///< the server stated that it did not run the call
    ConnectFailed, ///< no connection, so no byte of the call was sent
    Broken, ///< bytes were sent, and the answer is missing, incomplete or malformed
};

/// @return the snake_case name for logs
const char* toString(AttemptResult);

/// The events that RelayReducer handles.
namespace event {

    /// A new configuration is in effect.
    struct ConfigurationAccepted {
        std::shared_ptr<const RouteTable> routes;
    };

    /// The registry entry of a backend server was added or changed.
    struct ServerRegistered {
        RegisteredServer server;
    };

    /// The registry entry of a backend server was removed.
    struct ServerUnregistered {
        BackendId server;
    };

    /// Reports how many instances share the backend servers.
    struct InstancesCounted {
        std::uint32_t instances = 1; ///< including this one
        bool isListed = true; ///< the store's list contains this instance, so the others count it
    };

    /// Reports whether the local copy of the store lacks changes that a peer has, or may lack changes because the store
    /// has not answered recently.
    struct StoreCopyChecked {
        bool isOutdated = false;
    };

    /// The other instances' load on the engines was reported, or became unknown.
    struct LoadsReported {
        std::optional<EngineLoads> loads; ///< by engineKey; nothing if unknown
    };

    /// The operator switched mechanisms on or off.
    struct MechanismsChanged {
        DisabledMechanisms disabled; ///< all that are off from now on
    };

    /// A caller has sent a call.
    struct CallArrived {
        RequestId call;
        CallSpec spec;
    };

    /// The caller closed its connection before the final answer.
    struct CallerLeft {
        RequestId call;
    };

    /// The first bytes of the call were sent. The server may have run the call from now on.
    struct AttemptSent {
        AttemptId attempt;
    };

    /// The head of an answer to an attempt, a check or an order arrived, which states something about its server.
    struct ServerNoticeSeen {
        BackendId server;
        StartTime startedAt; ///< start of the server that was asked
        TimePoint askedAt; ///< when the request was made; answers on different connections overtake each other
        ServerNotice notice;
    };

    /// Another instance, or this one, asked this instance for permits as the coordinator of a server that names a
    /// limit.
    struct PermitsRequested {
        PermitRequest request;
    };

    /// The coordinator answered effect::RequestPermits.
    struct PermitsAnswered {
        PermitAnswer answer;
    };

    /// Another instance reported that the limit of a server has begun or ended.
    struct ServerLimitReported {
        std::uint64_t server = 0; ///< key of one start of the server, see engineKey
        ServerLimit limit;
    };

    /// The header of a successful answer arrived, so the server has begun to run the call.
    struct AnswerBegun {
        AttemptId attempt;
    };

    /// A complete event of a stream was delivered to the caller.
    struct EventDelivered {
        AttemptId attempt;
        std::uint64_t eventId = 0;
    };

    /// An attempt has ended.
    struct AttemptEnded {
        AttemptId attempt;
        AttemptResult result = AttemptResult::Broken;
        unsigned status = 0; ///< HTTP status of the server's answer; zero if none
        std::string culprit; ///< address of the stage that the server blames; empty if none
        std::optional<AnswerEnding> ending {}; ///< how the body ended; nothing if none was read
        ConnectFailure connectFailure = ConnectFailure::Other; ///< meaningful only for ConnectFailed
    };

    /// The first stage answered effect::RerouteAttempt.
    struct RerouteAnswered {
        AttemptId attempt;
        bool accepted = false;
        std::string culprit {}; ///< address of the stage at which rerouting failed; empty if none is named
        unsigned status = 0; ///< HTTP status of the answer; zero if there was none
    };

    /// The first stage answered effect::AskStalledStage.
    struct StalledStageReported {
        AttemptId attempt;
        std::string address; ///< of the stage where the stream is stalled; empty if the first stage knows of none
    };

    /// A health check of an engine was answered or has failed.
    struct EngineChecked {
        BackendId engine;
        bool answered = false;
        double slowness = 1; ///< reported step time as a multiple of the usual one of its accelerator
        bool refused = false; ///< not answered, and the connection was refused: no process listens there
        StartTime asked {}; ///< start that was known when the check was sent
        StartTime answering {}; ///< start that answered; zero if the answer names none
        LayerRange layers {}; ///< layers that the engine reports to hold
        std::uint32_t queued = 0; ///< requests waiting for a slot of the engine
        double memoryUsed = 1; ///< fraction of the engine's KV cache memory in use; 1 if unknown
    };

    /// A server answered a check or a probe that had counted as unanswered.
    struct CheckAnsweredLate {
        BackendId server;
        StartTime answering {}; ///< start that answered; zero if the answer names none
        TimePoint askedAt; ///< when the check was sent
        bool isIdentified = false; ///< the answer names the server's id
    };

    /// An engine named its start time in its answer to a placement or reroute order.
    struct EngineStartSeen {
        BackendId engine;
        StartTime startedAt;
    };

    /// Another instance reported engines that did not answer its health checks.
    struct EnginesReportedDead {
        std::vector<std::uint64_t> engines; ///< by engineKey
    };

    /// Another instance reported engines that reject calls despite free capacity, so they accept no new calls.
    struct EnginesReportedClosed {
        std::vector<std::uint64_t> engines; ///< by engineKey
    };

    /// A probe of a server ended, see effect::ProbeServer.
    struct ServerProbed {
        enum class Finding {
            Alive, ///< the start that was probed answered
            Ended, ///< another start answered, or no process listens there
            Unknown, ///< no answer, or an answer that names no start, which may come from a proxy before the server
        };

        BackendId server;
        Finding finding = Finding::Unknown;
        bool responded = false; ///< any process answered, whatever its answer says
        StartTime answering {}; ///< start that answered; zero if the answer names none
    };

    /// Another instance reported servers that ended while they ran requests.
    struct CrashesReported {
        std::vector<CrashReport> crashes;
    };

    /// Another instance reported requests that ran without crashing a server.
    struct SoundRunsReported {
        std::vector<SoundRun> runs;
    };

    /// The store lists a trait as quarantined.
    struct QuarantineListed {
        RequestTrait trait;
    };

    /// The store no longer lists a trait as quarantined.
    struct QuarantineLifted {
        RequestTrait trait;
    };

    /// This instance was told to finish its calls and exit.
    struct DrainRequested {
        std::optional<Duration> remaining {}; ///< until CallsMustEnd; nothing: calls may take any time
    };

    /// The process is about to exit. No call can be answered later.
    struct CallsMustEnd { };

    /// The periodic timer fired.
    struct Tick { };

} // namespace event

using RelayEventBody = std::variant<event::ConfigurationAccepted, event::ServerRegistered, event::ServerUnregistered,
    event::InstancesCounted, event::StoreCopyChecked, event::LoadsReported, event::CallArrived, event::CallerLeft,
    event::AttemptSent, event::ServerNoticeSeen, event::PermitsRequested, event::PermitsAnswered,
    event::ServerLimitReported, event::AnswerBegun, event::EventDelivered, event::AttemptEnded, event::RerouteAnswered,
    event::StalledStageReported, event::EngineChecked, event::CheckAnsweredLate, event::ServerProbed,
    event::CrashesReported, event::SoundRunsReported, event::QuarantineListed, event::QuarantineLifted,
    event::EngineStartSeen, event::EnginesReportedDead, event::EnginesReportedClosed, event::DrainRequested,
    event::CallsMustEnd, event::MechanismsChanged, event::Tick>;

/// An event, with the only time and randomness that the reducer may use to handle it.
struct RelayEvent {
    TimePoint now;
    std::uint64_t entropy = 0; ///< uniformly random
    RelayEventBody body;
};

} // namespace crocusmount::relay
